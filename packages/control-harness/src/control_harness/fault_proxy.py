"""A TCP proxy between two processes that injects faults.

What a blocked direction holds back is delivered once it is unblocked, as on a network that retransmits.
"""

from __future__ import annotations

import asyncio
import re

from control_harness.loopback_server import LoopbackServer

READ_BYTES = 65_536
"""Bytes read at a time."""

EVENTS_START = re.compile(rb'"cmds": ?\[(?=\{)')
"""Where the first event of an answer begins; an answer without events does not match."""


class FaultProxy(LoopbackServer):
    """Forwards connections to ``target``.

    ``delay_s`` delays each piece in both directions.  ``truncate_events_bytes``: the next answer that has
    events is truncated after so many bytes of them and its connection is closed; None again once that has
    happened.  ``connection_count`` counts the connections accepted.
    """

    def __init__(self, target: str) -> None:
        super().__init__()
        self.delay_s = 0.0
        self.connection_count = 0
        self.truncate_events_bytes: int | None = None
        host, _, port = target.rpartition(":")
        self._target_host = host
        self._target_port = int(port)
        self._to_target_open = asyncio.Event()
        self._from_target_open = asyncio.Event()
        self.unblock()

    def block(self, to_target: bool = True, from_target: bool = True) -> None:
        """Hold back what is sent in these directions; connections stay, and new ones are accepted."""
        if to_target:
            self._to_target_open.clear()
        if from_target:
            self._from_target_open.clear()

    def unblock(self) -> None:
        """Deliver what was held back, and everything that follows."""
        self._to_target_open.set()
        self._from_target_open.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection in both directions until either side ends it."""
        self.connection_count += 1
        target_reader, target_writer = await asyncio.open_connection(self._target_host, self._target_port)
        directions = [
            asyncio.ensure_future(self._forward_to_target(reader, target_writer)),
            asyncio.ensure_future(self._forward_from_target(target_reader, writer)),
        ]
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for direction in directions:
                direction.cancel()
            await asyncio.gather(*directions, return_exceptions=True)
            target_writer.close()

    async def _forward_to_target(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(READ_BYTES):
            await self._hold_back(self._to_target_open)
            writer.write(data)
            await writer.drain()
        await self._to_target_open.wait()

    async def _forward_from_target(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(READ_BYTES):
            await self._hold_back(self._from_target_open)
            truncated = self._truncate_events(data)
            writer.write(data if truncated is None else truncated)
            await writer.drain()
            if truncated is not None:
                return
        await self._from_target_open.wait()

    def _truncate_events(self, data: bytes) -> bytes | None:
        """Return the truncated data if it begins the answer that is to be truncated."""
        if self.truncate_events_bytes is None:
            return None
        events_start = EVENTS_START.search(data)
        if events_start is None:
            return None
        truncated = data[: events_start.end() + self.truncate_events_bytes]
        self.truncate_events_bytes = None
        return truncated

    async def _hold_back(self, direction_open: asyncio.Event) -> None:
        await direction_open.wait()
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
