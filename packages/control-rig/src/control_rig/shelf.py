"""A stand-in of a shelf that answers each want at once, and counts them."""

from __future__ import annotations

import asyncio
import time

from thornjunction.net.wire.resp import ArrayReader, encode_array


class Shelf:
    """``wants`` counts; ``line`` is what discovery lists."""

    def __init__(self, name: str, kind: str = "box") -> None:
        self.name, self.kind, self.wants, self.port = name, kind, 0, 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def up(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def down(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def line(self, health: str = "active") -> dict[str, object]:
        """Its line of the list."""
        place = {"host": self.name, "dial": f"127.0.0.1:{self.port}", "site": "demo", "class": self.kind}
        return place | {"block": 0, "health": health, "share": 1, "born_ms": 0}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        arrays = ArrayReader()
        self._writers.add(writer)
        try:
            while data := await reader.read(65_536):
                for verb, ident, *_ in arrays.feed(data):
                    if verb == b"want":
                        self.wants += 1
                        fields = b"rev=1,since=%d" % (time.time() * 1000)
                        writer.write(encode_array((ident, b"DONE", fields, self.name.encode())))
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()
