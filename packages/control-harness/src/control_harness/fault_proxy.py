"""A TCP proxy between two processes that injects faults.

Data of a blocked direction is delivered once that is unblocked, as on a network where TCP retransmits.
"""

from __future__ import annotations

import asyncio
import re

from control_harness.loopback_server import LoopbackServer

READ_BYTES = 65_536
"""Upper bound on the bytes of one read."""

EVENTS_START = re.compile(rb'"cmds": ?\[(?=\{)')
"""Matches up to the start of an answer's first event; an answer without events does not match."""


class FaultProxy(LoopbackServer):
    """Forwards connections to ``target``; ``connection_count`` counts the connections accepted.

    If ``truncate_events_bytes`` is set, the next answer that has events is truncated after that number of
    bytes of them and its connection is closed; the attribute is None again once that has happened.
    """

    def __init__(self, target: str) -> None:
        super().__init__()
        self.connection_count = 0
        self.truncate_events_bytes: int | None = None
        host, _, port = target.rpartition(":")
        self._target_host = host
        self._target_port = int(port)
        self._to_target_unblocked = asyncio.Event()
        self._from_target_unblocked = asyncio.Event()
        self.unblock()

    def block(self, to_target: bool = True, from_target: bool = True) -> None:
        """Hold back data in these directions; connections stay open, and new ones are accepted."""
        if to_target:
            self._to_target_unblocked.clear()
        if from_target:
            self._from_target_unblocked.clear()

    def unblock(self) -> None:
        """Deliver the data that was withheld, and forward in both directions again."""
        self._to_target_unblocked.set()
        self._from_target_unblocked.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection in both directions until either side closes it."""
        self.connection_count += 1
        target_reader, target_writer = await asyncio.open_connection(self._target_host, self._target_port)
        directions = [
            asyncio.ensure_future(self._forward_to_target(reader, target_writer)),
            asyncio.ensure_future(self._forward_from_target(target_reader, writer)),
        ]
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for direction in directions:
                direction.cancel()
            await asyncio.gather(*directions, return_exceptions=True)
            target_writer.close()

    async def _forward_to_target(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(READ_BYTES):
            await self._to_target_unblocked.wait()
            writer.write(data)
            await writer.drain()
        await self._to_target_unblocked.wait()

    async def _forward_from_target(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(READ_BYTES):
            await self._from_target_unblocked.wait()
            truncated = self._truncate_events(data)
            writer.write(data if truncated is None else truncated)
            await writer.drain()
            if truncated is not None:
                return
        await self._from_target_unblocked.wait()

    def _truncate_events(self, data: bytes) -> bytes | None:
        """Return the truncated data if it has the start of the answer to be truncated, else None."""
        if self.truncate_events_bytes is None:
            return None
        events_start = EVENTS_START.search(data)
        if events_start is None:
            return None
        truncated = data[: events_start.end() + self.truncate_events_bytes]
        self.truncate_events_bytes = None
        return truncated
