"""A script that runs fake cache servers, whose responses have the size encoded in the object's name.

``python sized_cache_server.py DELAY_MS`` prints its port, and for each line on standard input the number of
connections that it has accepted. It exits at the end of standard input.
"""

from __future__ import annotations

import asyncio
import os
import sys

from fakes.cache_server_messages import DONE, CommandReader, encode_server_answer

# Unit of the size in an object's name.
SIZE_UNIT_BYTES = 1_000
# Hexadecimal digits of an object's name that hold the size.
SIZE_DIGITS = 8
ANSWER_FIELDS = b"rev=t1,since=5"
# Connections that the kernel queues until the process accepts them.
LISTEN_BACKLOG = 512


def object_name(size_bytes: int, number: int) -> str:
    """Return the name of an object of this size, rounded down to 1,000 bytes; ``number`` has 32 bits."""
    return f"{size_bytes // SIZE_UNIT_BYTES:08x}{number:08x}"


class SizedCacheServer(asyncio.Protocol):
    """One connection, on which each request is answered after ``delay_s``."""

    accepted_count = 0
    delay_s = 0.0

    def __init__(self) -> None:
        self._transport: asyncio.WriteTransport | None = None
        self._reader = CommandReader()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and count the connection."""
        assert isinstance(transport, asyncio.WriteTransport)
        self._transport = transport
        SizedCacheServer.accepted_count += 1

    def data_received(self, data: bytes) -> None:
        """Answer the requests in ``data`` after ``delay_s``."""
        if self.delay_s:
            asyncio.get_running_loop().call_later(self.delay_s, self._answer, data)
        else:
            self._answer(data)

    def _answer(self, data: bytes) -> None:
        assert self._transport is not None
        for command in self._reader.feed(data):
            if command.is_request:
                body = bytes(_requested_bytes(command.arguments[0]))
                answer = encode_server_answer(command.request_id, DONE, ANSWER_FIELDS, body)
                self._transport.write(answer)


def _requested_bytes(description: bytes) -> int:
    fields = dict(pair.split(b"=") for pair in description.split(b","))
    return int(fields[b"thing"][:SIZE_DIGITS], 16) * SIZE_UNIT_BYTES


async def serve(delay_ms: float) -> None:
    """Serve until standard input ends, and then exit the process."""
    SizedCacheServer.delay_s = delay_ms / 1000.0
    loop = asyncio.get_running_loop()
    server = await loop.create_server(SizedCacheServer, "127.0.0.1", 0, backlog=LISTEN_BACKLOG)
    print(server.sockets[0].getsockname()[1], flush=True)
    while await loop.run_in_executor(None, sys.stdin.readline):
        print(SizedCacheServer.accepted_count, flush=True)
    os._exit(0)


if __name__ == "__main__":
    asyncio.run(serve(float(sys.argv[1])))
