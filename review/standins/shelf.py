"""The server side of a shelf, a parent or the origin: RESP arrays of bulk strings."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

LOOPBACK = "127.0.0.1"


@dataclass(frozen=True)
class Want:
    """One request of a router, as it arrived."""

    server: str
    request_id: str
    fields: dict[str, str]


@dataclass(frozen=True)
class Reply:
    """The answer to a request."""

    word: str
    fields: str = "-"
    body: bytes = b""


# Handles a request; None: it is never answered.
Handler = Callable[[Want], Awaitable[Reply | None]]


def _encode(*items: bytes) -> bytes:
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


async def _read_array(reader: asyncio.StreamReader) -> list[bytes]:
    count = int((await reader.readuntil(b"\r\n"))[1:-2])
    items: list[bytes] = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:-2])
        items.append((await reader.readexactly(size + 2))[:-2])
    return items


class Shelf:
    """A server that answers what its handler says; probes at once, and withdrawn requests never."""

    def __init__(self, name: str, handler: Handler, report: str = "inflight:1;util:0.2;x1:0.1") -> None:
        self.name = name
        self.address = (LOOPBACK, 0)
        self._handler = handler
        self._report = report
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free loopback port."""
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.address = server.sockets[0].getsockname()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        open_requests: dict[str, asyncio.Task[None]] = {}
        try:
            while True:
                self._handle(await _read_array(reader), writer, open_requests)
        except (asyncio.IncompleteReadError, OSError):
            for task in open_requests.values():
                task.cancel()
            writer.close()

    def _handle(
        self, items: list[bytes], writer: asyncio.StreamWriter, open_requests: dict[str, asyncio.Task[None]]
    ) -> None:
        verb, request_id = items[0], items[1].decode()
        if verb == b"never_mind":
            task = open_requests.pop(request_id, None)
            if task is not None:
                task.cancel()
        elif verb == b"want":
            pairs = items[2].decode()
            fields = dict(pair.split("=", 1) for pair in pairs.split(",")) if pairs != "-" else {}
            task = asyncio.create_task(self._answer(Want(self.name, request_id, fields), writer))
            open_requests[request_id] = task
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        else:
            fields_out = f"report={self._report}" if verb == b"busy" else "-"
            writer.write(_encode(items[1], b"FIT", fields_out.encode(), b""))

    async def _answer(self, want: Want, writer: asyncio.StreamWriter) -> None:
        reply = await self._handler(want)
        if reply is not None:
            items = (want.request_id, reply.word, reply.fields)
            writer.write(_encode(*(item.encode() for item in items), reply.body))
