"""A web server that reads 1 MB a second, and asks for a little less than that."""

from __future__ import annotations

import asyncio
import secrets
import socket
import sys
import time
from collections import Counter
from pathlib import Path

from standins.fastcgi import HEADER, encode_request
from standins.platform import Platform, has_trouble, play, require
from standins.record import Record
from standins.shelf import Reply, Want

# The page: "Some clients read at most 1 MB a second", "One connection carries up to 32 open requests".
BYTES_PER_S = 1_000_000
OPEN_REQUESTS = 32
# A clip of 480 ms, the greatest mean of the class, at the 310,000 bytes a second of the configuration.
CLIP_BYTES = 148_800
CLIP_KB = 5520.0
TTL_MS = 5000
# 32 requests at once, then one each 150 ms: 0.99 MB a second.
INTERVAL_S = 0.15
DURATION_S = 20.0
# How long the client waits for the rest after its last request.
REST_S = 8.0
READ_BYTES = 65_536
END_REQUEST = 3


async def serve_clip(want: Want) -> Reply:
    """Answer any request with a clip."""
    del want
    return Reply("DONE", f"rev=t1,since={time.time() * 1000:.0f}", bytes(CLIP_BYTES))


class WebServer:
    """A web server of the front with one connection, which it reads without a pause."""

    def __init__(self, record: Record, connection: socket.socket, is_slow: bool) -> None:
        self.outcomes: Counter[str] = Counter()
        self.longest_wait_s = 0.0
        self.open: dict[int, float] = {}
        self._record = record
        self._connection = connection
        self._is_slow = is_slow
        self._last_id = 0
        self._began_s = time.monotonic()
        self._read_bytes = 0
        self._buffer = bytearray()
        self._bodies: Counter[int] = Counter()

    async def send_one(self) -> None:
        """Write one request, unless 32 are open."""
        if len(self.open) >= OPEN_REQUESTS:
            return
        self._last_id += 1
        self.open[self._last_id] = time.monotonic()
        params = {
            "SCRIPT_NAME": "/do/clips",
            "HTTP_X_TXN": secrets.token_hex(8),
            "HTTP_X_TTL_MS": str(TTL_MS),
            "HTTP_X_ROW": secrets.token_hex(8),
            "HTTP_X_GROUP": "17",
            "HTTP_X_WORKING_SET_KB": str(CLIP_KB),
        }
        data = encode_request(self._last_id, params)
        await asyncio.get_running_loop().sock_sendall(self._connection, data)

    async def send_all(self) -> None:
        """Write 32 requests, then one at each interval."""
        for _ in range(OPEN_REQUESTS):
            await self.send_one()
        while time.monotonic() - self._began_s < DURATION_S:
            await asyncio.sleep(INTERVAL_S)
            await self.send_one()

    async def read_all(self) -> None:
        """Read answers until the connection ends."""
        loop = asyncio.get_running_loop()
        next_line_s = 1.0
        while True:
            elapsed_s = time.monotonic() - self._began_s
            allowed = int(elapsed_s * BYTES_PER_S) - self._read_bytes if self._is_slow else READ_BYTES
            if allowed < 20_000:
                await asyncio.sleep(0.02)
                continue
            data = await loop.sock_recv(self._connection, min(allowed, READ_BYTES))
            if not data:
                raise ConnectionResetError
            self._read_bytes += len(data)
            self._buffer += data
            self._take_records()
            if elapsed_s >= next_line_s:
                next_line_s += 1.0
                self._record.write("read", bytes=self._read_bytes, open=len(self.open), **self.outcomes)

    def _take_records(self) -> None:
        while len(self._buffer) >= HEADER.size:
            _, kind, request_id, size, padding = HEADER.unpack(self._buffer[: HEADER.size])
            end = HEADER.size + size + padding
            if len(self._buffer) < end:
                return
            if kind == END_REQUEST:
                self._end(request_id)
            else:
                self._bodies[request_id] += size
            del self._buffer[:end]

    def _end(self, request_id: int) -> None:
        waited_s = time.monotonic() - self.open.pop(request_id)
        self.longest_wait_s = max(self.longest_wait_s, waited_s)
        self.outcomes["served" if self._bodies.pop(request_id, 0) > CLIP_BYTES else "refused or failed"] += 1


async def connect(address: tuple[str, int]) -> socket.socket:
    """Connect with a receive buffer of 64 KB, so that a slow reader's bytes stay with the sender."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
    connection.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connection, address)
    return connection


async def case(platform: Platform) -> bool:
    """Return whether the connection did not end while requests on it had no answer."""
    await platform.start(serve_clip)
    await platform.run("router")
    require(await platform.is_ready_within(10.0), "the router was not ready in time")
    connection = await connect(platform.listen)
    web_server = WebServer(platform.record, connection, has_trouble())
    sending = asyncio.create_task(web_server.send_all())
    reading = asyncio.create_task(web_server.read_all())
    await asyncio.wait({reading}, timeout=DURATION_S + REST_S)
    error = repr(reading.exception()) if reading.done() else "none"
    sending.cancel()
    reading.cancel()
    connection.close()
    platform.record.write("connection", ended_by=error, open=len(web_server.open), **web_server.outcomes)
    platform.record.write("longest wait", s=round(web_server.longest_wait_s, 3))
    require(web_server.outcomes["served"], "no request was served")
    return not web_server.open


if __name__ == "__main__":
    sys.exit(play(case, Path(__file__).parent))
