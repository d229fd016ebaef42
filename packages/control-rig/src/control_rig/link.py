"""A way between two processes: what it holds back comes when it opens again, as on a network that repeats."""

from __future__ import annotations

import asyncio

from control_rig.server import Server

PIECE = 65_536


class Link(Server):
    """Passes on to ``target``.  ``forth`` is the way to the target, ``back`` the one from it; ``delay_s``
    holds for both.  ``cut_back_at``: so many bytes more come back, then that connection is reset."""

    def __init__(self, target: str) -> None:
        super().__init__()
        host, _, port = target.rpartition(":")
        self.target = host, int(port)
        self.delay_s, self.dials = 0.0, 0
        self.cut_back_at: int | None = None
        self.forth, self.back = asyncio.Event(), asyncio.Event()
        self.heal()

    def cut(self, forth: bool = True, back: bool = True) -> None:
        """Hold back what goes these ways; connections stay, and new ones come up."""
        if forth:
            self.forth.clear()
        if back:
            self.back.clear()

    def heal(self) -> None:
        self.forth.set()
        self.back.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.dials += 1
        far_reader, far_writer = await asyncio.open_connection(*self.target)
        ways = [
            asyncio.ensure_future(self._pass(reader, far_writer, self.forth)),
            asyncio.ensure_future(self._pass(far_reader, writer, self.back)),
        ]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            await asyncio.gather(*ways, return_exceptions=True)
            far_writer.close()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: asyncio.Event
    ) -> None:
        while data := await reader.read(PIECE):
            await way.wait()
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if way is self.back and self.cut_back_at is not None:
                data, left = data[: self.cut_back_at], self.cut_back_at - len(data)
                self.cut_back_at = left if left > 0 else None
                if left <= 0:
                    writer.write(data)
                    return await writer.drain()
            writer.write(data)
            await writer.drain()
        await way.wait()
