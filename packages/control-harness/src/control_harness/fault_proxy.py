"""A way between two processes: what it holds back comes when it opens again, as on a network that repeats."""

from __future__ import annotations

import asyncio
import re

from control_harness.loopback_server import Server

PIECE = 65_536
EVENTS = re.compile(rb'"cmds": ?\[(?=\{)')


class Link(Server):
    """Passes on to ``target``.  ``forth`` is the way to the target, ``back`` the one from it; ``delay_s``
    holds for both.  ``cut_events``: the next answer with events comes back up to so many bytes of the first,
    then its connection ends; None again once that has happened."""

    def __init__(self, target: str) -> None:
        super().__init__()
        host, _, port = target.rpartition(":")
        self.target = host, int(port)
        self.delay_s, self.dials = 0.0, 0
        self.cut_events: int | None = None
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
            if way is self.back and self.cut_events is not None and (begun := EVENTS.search(data)):
                writer.write(data[: begun.end() + self.cut_events])
                self.cut_events = None
                return await writer.drain()
            writer.write(data)
            await writer.drain()
        await way.wait()
