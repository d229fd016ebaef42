"""A fake cache server that answers each request at once and counts the requests."""

from __future__ import annotations

import asyncio
import time

from fakes.cache_server_messages import DONE, CommandReader, encode_server_answer

from control_harness.loopback_server import LoopbackServer

# Upper bound on the bytes of one read.
READ_BYTES = 65_536


class FakeCacheServer(LoopbackServer):
    """A named cache server; the body of each answer is that name.  ``request_count`` counts requests."""

    def __init__(self, name: str, kind: str = "box") -> None:
        super().__init__()
        self.name = name
        self.kind = kind
        self.request_count = 0

    def host_entry(self, health: str = "active") -> dict[str, object]:
        """Return the server's entry in discovery's list."""
        return {
            "host": self.name,
            "dial": self.address,
            "site": "demo",
            "class": self.kind,
            "block": 0,
            "health": health,
            "share": 1,
            "born_ms": 0,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        commands = CommandReader()
        while data := await reader.read(READ_BYTES):
            for command in commands.feed(data):
                if command.is_request:
                    self.request_count += 1
                    fields = b"rev=1,since=%d" % (time.time() * 1000)
                    writer.write(encode_server_answer(command.request_id, DONE, fields, self.name.encode()))
