"""A stand-in of discovery: numbered events by long poll, and its faults."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Sequence
from typing import Any
from urllib.parse import parse_qs, urlsplit

Line = dict[str, Any]
MOST_BLOCK_S = 5.0


class Discovery:
    """Tells a list and what follows.  ``polls`` counts; ``down`` and ``up`` keep the address."""

    def __init__(self) -> None:
        self.events: list[Line] = []
        self.polls = 0
        self.cut_at: int | None = None  # bytes of the next answer that has events; then its connection ends
        self.cuts = 0
        self.port = 0
        self._seq = 0
        self._news = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    @property
    def cursor(self) -> int:
        return len(self.events)

    async def up(self) -> None:
        """Listen, at the same port as before."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def down(self) -> None:
        """Listen no more, and end all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def tell_list(self, lines: Sequence[Line], whole: bool = False) -> None:
        """A list event: whole, or what has changed."""
        self._seq += 1
        await self._tell([{"nodes": {"seq": self._seq, "whole": whole, "hosts": list(lines)}}])

    async def purge(self, *names: int) -> None:
        """A purge of each object, issued now."""
        when = int(time.time() * 1000)
        await self._tell([{"drop": {"id": f"{name:016x}", "when": when}} for name in names])

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

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                self.polls += 1
                query = parse_qs(urlsplit(head.split(" ")[1]).query)
                body = await self._answer(int(query["resume"][0]), float(query["block"][0]) / 1000.0)
                await self._write(writer, body)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, resume: int, block_s: float) -> bytes:
        async with self._news:
            try:
                waiting = self._news.wait_for(lambda: self.cursor > resume)
                await asyncio.wait_for(waiting, min(block_s, MOST_BLOCK_S))
            except TimeoutError:
                pass
            return json.dumps({"cursor": self.cursor, "cmds": self.events[resume:]}).encode()

    async def _write(self, writer: asyncio.StreamWriter, body: bytes) -> None:
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        if self.cut_at is not None and b'"cursor"' in body[12:]:
            data, self.cut_at = data[: self.cut_at], None
            self.cuts += 1
            writer.write(data)
            await writer.drain()
            raise ConnectionAbortedError
        writer.write(data)
        await writer.drain()
