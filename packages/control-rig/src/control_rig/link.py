"""A way between two processes: what it holds back comes when it opens again, as on a network that repeats."""

from __future__ import annotations

import asyncio
from contextlib import suppress

PIECE = 65_536


class Link:
    """Listens on a free port and passes on to ``target``.  ``forth`` is the way to the target, ``back`` the
    one from it; ``delay_s`` holds for both."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self.target, self.port = (host, int(port)), 0
        self.delay_s, self.passed = 0.0, 0  # bytes, both ways
        self.forth, self.back = asyncio.Event(), asyncio.Event()
        self.forth.set()
        self.back.set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def up(self) -> None:
        """Listen, at the same port as before."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def down(self) -> None:
        """Refuse, and reset all that is connected."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    def cut(self, forth: bool = True, back: bool = True) -> None:
        """Hold back what goes these ways; connections stay, and new ones come up."""
        if forth:
            self.forth.clear()
        if back:
            self.back.clear()

    def heal(self) -> None:
        self.forth.set()
        self.back.set()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            self._end(writer)
            return
        self._writers.add(far_writer)
        for pump in (self._pump(reader, far_writer, self.forth), self._pump(far_reader, writer, self.back)):
            task = asyncio.ensure_future(pump)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: asyncio.Event
    ) -> None:
        try:
            while data := await reader.read(PIECE):
                await way.wait()
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                self.passed += len(data)
                writer.write(data)
                await writer.drain()
            await way.wait()
        except OSError:
            pass
        finally:
            self._end(writer)

    def _end(self, writer: asyncio.StreamWriter) -> None:
        self._writers.discard(writer)
        with suppress(OSError):
            writer.close()
