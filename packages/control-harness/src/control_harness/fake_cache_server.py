"""A fake cache server that answers each request at once, and counts them."""

from __future__ import annotations

import asyncio
import time

from control_harness.loopback_server import LoopbackServer
from thornjunction.net.wire.resp import ArrayReader, encode_array

READ_BYTES = 65_536
"""Bytes read at a time."""


class FakeCacheServer(LoopbackServer):
    """A cache server by name; its answer to every request is that name."""

    def __init__(self, name: str, kind: str = "box") -> None:
        super().__init__()
        self.name = name
        self.kind = kind
        self.request_count = 0

    def host_entry(self, health: str = "active") -> dict[str, object]:
        """Return its entry of discovery's list."""
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
        arrays = ArrayReader()
        while data := await reader.read(READ_BYTES):
            for verb, request_id, *_ in arrays.feed(data):
                if verb == b"want":
                    self.request_count += 1
                    fields = b"rev=1,since=%d" % (time.time() * 1000)
                    writer.write(encode_array((request_id, b"DONE", fields, self.name.encode())))
