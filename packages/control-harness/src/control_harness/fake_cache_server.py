"""A stand-in of a shelf that answers each want at once, and counts them."""

from __future__ import annotations

import asyncio
import time

from control_harness.loopback_server import Server
from thornjunction.net.wire.resp import ArrayReader, encode_array


class Shelf(Server):
    """``wants`` counts; ``line`` is what discovery lists."""

    def __init__(self, name: str, kind: str = "box") -> None:
        super().__init__()
        self.name, self.kind, self.wants = name, kind, 0

    def line(self, health: str = "active") -> dict[str, object]:
        """Its line of the list."""
        place = {"host": self.name, "dial": self.address, "site": "demo", "class": self.kind}
        return place | {"block": 0, "health": health, "share": 1, "born_ms": 0}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        arrays = ArrayReader()
        while data := await reader.read(65_536):
            for verb, ident, *_ in arrays.feed(data):
                if verb == b"want":
                    self.wants += 1
                    fields = b"rev=1,since=%d" % (time.time() * 1000)
                    writer.write(encode_array((ident, b"DONE", fields, self.name.encode())))
