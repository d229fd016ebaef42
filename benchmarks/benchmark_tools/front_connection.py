"""A web server's connection to the platform's front, on asyncio: sends requests and counts their ends."""

from __future__ import annotations

import asyncio
import random

from fakes.clients import encode_fastcgi_request

from benchmark_tools.sized_cache_server import object_name

REQUEST_TIMEOUT_MS = 4_000
# FastCGI request ids start again at 1 after this one.
MAX_REQUEST_ID = 60_000
# Layout of a FastCGI record.
RECORD_HEAD_BYTES = 8
KIND_OFFSET = 1
LENGTH_FIELD = slice(4, 6)
PADDING_OFFSET = 6
END_RECORD_KIND = 3
SERVED_BEGIN = b"Status: 200"
CONNECT_PAUSE_S = 0.05
CONNECT_TIMEOUT_S = 20.0


class FrontConnection(asyncio.Protocol):
    """Counts ended and served requests; sends ``repeat_count`` further ones, each when a request ends."""

    def __init__(self) -> None:
        self.ended_count = 0
        self.served_count = 0
        self.repeat_count = 0
        self.repeat_bytes = 0
        self._transport: asyncio.WriteTransport | None = None
        self._buffer = bytearray()
        self._last_request_id = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, on which requests can be sent from now on."""
        assert isinstance(transport, asyncio.WriteTransport)
        self._transport = transport

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002
        """Drop the transport; later calls of ``send_request`` raise ConnectionError."""
        self._transport = None

    def send_request(self, size_bytes: int) -> None:
        """Request a random object of this size.  Raises ConnectionError if the connection is closed."""
        if self._transport is None:
            raise ConnectionError
        self._last_request_id = self._last_request_id % MAX_REQUEST_ID + 1
        params = {
            "SCRIPT_NAME": "/do/files",
            "HTTP_X_TXN": f"{random.getrandbits(64):016x}",
            "HTTP_X_ROW": object_name(size_bytes, random.getrandbits(32)),
            "HTTP_X_TTL_MS": f"{REQUEST_TIMEOUT_MS}",
            "HTTP_X_WORKING_SET_KB": f"{size_bytes / 1_000}",
        }
        self._transport.write(encode_fastcgi_request(self._last_request_id, params))

    def data_received(self, data: bytes) -> None:
        """Count the requests of the records that are complete, and send repeats."""
        self._buffer += data
        while (record_bytes := self._complete_record_bytes()) is not None:
            is_end = self._buffer[KIND_OFFSET] == END_RECORD_KIND
            content_begin = self._buffer[RECORD_HEAD_BYTES : RECORD_HEAD_BYTES + len(SERVED_BEGIN)]
            del self._buffer[:record_bytes]
            self.served_count += content_begin == SERVED_BEGIN
            self.ended_count += is_end
            if is_end and self.repeat_count:
                self.repeat_count -= 1
                self.send_request(self.repeat_bytes)

    def _complete_record_bytes(self) -> int | None:
        """Return the length of the first buffered record, or None while it is incomplete."""
        if len(self._buffer) < RECORD_HEAD_BYTES:
            return None
        content_bytes = int.from_bytes(self._buffer[LENGTH_FIELD], "big")
        record_bytes = RECORD_HEAD_BYTES + content_bytes + self._buffer[PADDING_OFFSET]
        return record_bytes if len(self._buffer) >= record_bytes else None


async def connect_all(address: str, count: int) -> list[FrontConnection]:
    """Open connections once the router listens.  Raises ConnectionRefusedError after 20 s of refusals."""
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    until_s = loop.time() + CONNECT_TIMEOUT_S
    connections: list[FrontConnection] = []
    while len(connections) < count:
        try:
            _, connection = await loop.create_connection(FrontConnection, host, int(port))
        except ConnectionRefusedError:
            if loop.time() > until_s:
                raise
            await asyncio.sleep(CONNECT_PAUSE_S)
        else:
            connections.append(connection)
    return connections
