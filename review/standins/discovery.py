"""The command channel: numbered events over HTTP/1.1 long polls."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from typing import Any
from urllib.parse import parse_qs, urlsplit

LOOPBACK = "127.0.0.1"


class Discovery:
    """Answers each poll when later events exist, or when its time is over."""

    def __init__(self) -> None:
        self.address = (LOOPBACK, 0)
        self.events: list[dict[str, Any]] = []
        self.poll_arrived = asyncio.Event()
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listen on a free loopback port."""
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.address = server.sockets[0].getsockname()

    def publish(self, **change: Any) -> None:
        """Add an event; a poll that waits is answered with it at once."""
        self.events.append({"cursor": len(self.events) + 1, **change})
        self._changed.set()
        self._changed = asyncio.Event()

    def known(self) -> dict[str, Any]:
        """Return all events so far, in the form of an answer."""
        return {"cursor": len(self.events), "cmds": list(self.events)}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                query = parse_qs(urlsplit(head.split(b" ")[1].decode()).query)
                body = await self._next(int(query["resume"][0]), float(query["block"][0]) / 1000.0)
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
                    % (len(body), body)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            writer.close()

    async def _next(self, resume: int, block_s: float) -> bytes:
        if resume >= len(self.events):
            changed = self._changed
            self.poll_arrived.set()
            with suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), min(block_s, 5.0))
        return json.dumps({"cursor": len(self.events), "cmds": self.events[resume:]}).encode()
