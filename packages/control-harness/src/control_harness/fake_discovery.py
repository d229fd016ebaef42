"""A stand-in of discovery: numbered events by long poll, and its faults."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Mapping, Sequence
from typing import Any
from urllib.parse import parse_qs, urlsplit

from control_harness.loopback_server import Server

Line = Mapping[str, Any]
MOST_BLOCK_S = 5.0


class Discovery(Server):
    """Tells a list and what follows.  ``polls`` counts; ``down`` and ``up`` keep address and events."""

    def __init__(self) -> None:
        super().__init__()
        self.events: list[Line] = []
        self.polls = 0
        self._seq = 0
        self._news = asyncio.Condition()

    @property
    def cursor(self) -> int:
        return len(self.events)

    async def tell_list(self, lines: Sequence[Line], whole: bool = False) -> None:
        """A list event: whole, or what has changed."""
        self._seq += 1
        await self._tell([{"nodes": {"seq": self._seq, "whole": whole, "hosts": list(lines)}}])

    async def purge(self, *names: int, ago_ms: Sequence[float] = ()) -> None:
        """A purge of each object, issued now, or so long ago each."""
        now, agos = time.time() * 1000, ago_ms or [0.0] * len(names)
        told = zip(names, agos, strict=True)
        await self._tell([{"drop": {"id": f"{name:016x}", "when": int(now - ago)}} for name, ago in told])

    async def restart(self, lines: Sequence[Line]) -> None:
        """New numbers from 1, and a new version of the list: what was told before is forgotten."""
        await self.down()
        self.events, self._seq = [], 0
        await self.tell_list(lines, whole=True)
        await self.up()

    async def _tell(self, events: Sequence[Line]) -> None:
        async with self._news:
            for event in events:
                self.events.append({"cursor": len(self.events) + 1, **event})
            self._news.notify_all()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            self.polls += 1
            query = parse_qs(urlsplit(head.split(" ")[1]).query)
            resume = int(query["resume"][0])
            await self._news_after(resume, float(query["block"][0]) / 1000.0)
            body = json.dumps({"cursor": self.cursor, "cmds": self.events[resume:]}).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await writer.drain()

    async def _news_after(self, resume: int, block_s: float) -> None:
        async with self._news:
            try:
                waiting = self._news.wait_for(lambda: self.cursor > resume)
                await asyncio.wait_for(waiting, min(block_s, MOST_BLOCK_S))
            except TimeoutError:
                pass
