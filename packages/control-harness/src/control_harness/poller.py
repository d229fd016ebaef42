"""A router's side of the channel and nothing else: many of them cost one process little."""

from __future__ import annotations

import asyncio
import json

BLOCK_MS = 1200
AGAIN_S = 0.05


class Poller:
    """Keeps polling.  ``purges`` are the objects in the order in which they were told; ``disorder`` counts
    events whose number was not above the last one's within an epoch."""

    def __init__(self, source: str, name: str) -> None:
        host, _, port = source.rpartition(":")
        self.source, self.name = (host, int(port)), name
        self.epoch, self.cursor = "", 0
        self.purges: list[int] = []
        self.disorder = 0

    async def run(self) -> None:
        """Until it is cancelled."""
        while True:
            try:
                await self._poll()
            except (OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(AGAIN_S)

    async def _poll(self) -> None:
        reader, writer = await asyncio.open_connection(*self.source)
        try:
            while True:
                query = f"resume={self.cursor}&block={BLOCK_MS}&epoch={self.epoch}&as=router&name={self.name}"
                writer.write(f"GET /cmd/next?{query} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                length = int(head.partition("content-length: ")[2].partition("\r\n")[0])
                body = await reader.readexactly(length)
                if " 200 " in head.partition("\r\n")[0]:
                    self._take(json.loads(body))
                else:
                    raise ConnectionAbortedError
        finally:
            writer.close()

    def _take(self, told: dict[str, object]) -> None:
        if told["epoch"] != self.epoch:
            self.epoch, self.cursor = str(told["epoch"]), 0
        events = told["cmds"]
        assert isinstance(events, list)
        for event in events:
            self.disorder += event["cursor"] <= self.cursor
            self.cursor = event["cursor"]
            if "id" in event.get("drop", ()):
                self.purges.append(int(event["drop"]["id"], 16))
