"""A fake discovery that serves numbered events by long poll, and can be stopped or reset."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping, Sequence
from contextlib import suppress

from fakes.event_log import EventLog, parse_poll

from control_harness.loopback_server import LoopbackServer

# The entry of one cache server in discovery's list.
HostEntry = Mapping[str, object]

# Upper bound on the seconds that a poll is kept open, so that a test ends soon after its last event.
MAX_BLOCK_S = 5.0


class FakeDiscovery(LoopbackServer):
    """Publishes a list of cache servers and its changes; ``poll_count`` counts the polls received.

    The address and the events are kept by ``stop`` and a later ``start``.
    """

    def __init__(self) -> None:
        super().__init__()
        self.poll_count = 0
        self._log = EventLog()
        self._list_version = 0
        self._published = asyncio.Condition()

    async def publish_hosts(self, hosts: Sequence[HostEntry], complete: bool = False) -> None:
        """Publish a list event: the complete list, or the entries that have changed."""
        self._list_version += 1
        nodes = {"seq": self._list_version, "whole": complete, "hosts": list(hosts)}
        await self._publish([{"nodes": nodes}])

    async def publish_purges(self, *objects: int, ages_ms: Sequence[float] = ()) -> None:
        """Publish a purge of each object, issued now or ``ages_ms`` ago (one age for each object)."""
        now_ms = time.time() * 1000
        ages = ages_ms or [0.0] * len(objects)
        purges = [
            {"drop": {"id": f"{number:016x}", "when": int(now_ms - age_ms)}}
            for number, age_ms in zip(objects, ages, strict=True)
        ]
        await self._publish(purges)

    async def restart_numbering(self, hosts: Sequence[HostEntry]) -> None:
        """Restart without any earlier event: event numbers and list versions begin at 1 again."""
        await self.stop()
        self._log.clear()
        self._list_version = 0
        await self.publish_hosts(hosts, complete=True)
        await self.start()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Hold and answer the polls of one connection until the client closes it."""
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            self.poll_count += 1
            poll = parse_poll(head.split(" ")[1])
            await self._wait_for_events(poll.resume, poll.block_ms / 1000.0)
            body = self._log.encode_events_after(poll.resume)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await writer.drain()

    async def _publish(self, events: Sequence[Mapping[str, object]]) -> None:
        async with self._published:
            for event in events:
                self._log.append(event)
            self._published.notify_all()

    async def _wait_for_events(self, resume: int, block_s: float) -> None:
        """Wait until there are events after ``resume``, for at most the poll's block time."""
        async with self._published:
            has_events = self._published.wait_for(lambda: self._log.has_events_after(resume))
            with suppress(TimeoutError):
                await asyncio.wait_for(has_events, min(block_s, MAX_BLOCK_S))
