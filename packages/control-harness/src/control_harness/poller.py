"""A client that only polls, as a router does; one process can run many of them."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Mapping
from typing import Any

BLOCK_MS = 1200
"""Block time of each poll (ms)."""

RECONNECT_S = 0.05
"""Seconds from the end of a connection to the next connect."""


class Poller:
    """Polls a relay or discovery until it is cancelled.

    ``purged_objects`` lists the purged objects in the order of receipt; ``out_of_order_count`` counts events
    whose number was not above that of the event before in the same epoch.
    """

    def __init__(self, source: str, name: str) -> None:
        host, _, port = source.rpartition(":")
        self.name = name
        self.epoch = ""
        self.cursor = 0
        self.purged_objects: list[int] = []
        self.out_of_order_count = 0
        self._host = host
        self._port = int(port)

    async def run(self) -> None:
        """Poll; when a connection fails or is refused, connect again after ``RECONNECT_S``."""
        while True:
            try:
                await self._poll_on_connection()
            except (OSError, asyncio.IncompleteReadError):
                await asyncio.sleep(RECONNECT_S)

    async def _poll_on_connection(self) -> None:
        reader, writer = await asyncio.open_connection(self._host, self._port)
        try:
            while True:
                await self._poll(reader, writer)
        finally:
            writer.close()

    async def _poll(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        query = f"resume={self.cursor}&block={BLOCK_MS}&epoch={self.epoch}&as=router&name={self.name}"
        writer.write(f"GET /cmd/next?{query} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        length = int(head.partition("content-length: ")[2].partition("\r\n")[0])
        body = await reader.readexactly(length)
        status_line = head.partition("\r\n")[0]
        if " 200 " not in status_line:
            raise ConnectionAbortedError(status_line)
        self._apply(json.loads(body))

    def _apply(self, answer: Mapping[str, Any]) -> None:
        if answer["epoch"] != self.epoch:
            self.epoch = str(answer["epoch"])
            self.cursor = 0
        for event in answer["cmds"]:
            if event["cursor"] <= self.cursor:
                self.out_of_order_count += 1
            self.cursor = event["cursor"]
            if "id" in event.get("drop", ()):
                self.purged_objects.append(int(event["drop"]["id"], 16))
