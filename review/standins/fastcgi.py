"""A client of the platform's front: FastCGI 1.0, role Responder, many requests on one connection."""

from __future__ import annotations

import asyncio
import struct
from dataclasses import dataclass

HEADER = struct.Struct(">BBHHBx")
BEGIN_REQUEST, ABORT_REQUEST, END_REQUEST, PARAMS, STDIN, STDOUT = 1, 2, 3, 4, 5, 6
RESPONDER_KEEP_CONN = struct.pack(">HB5x", 1, 1)
OVERLOADED = 2


@dataclass(frozen=True)
class Answer:
    """The final answer to a request; ``status`` is 0 if the connection ended without one."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def outcome(self) -> str:
        """The meaning of the answer on the protocol page."""
        if self.status == 0:
            return "lost"
        if self.status == 200:
            return "served"
        return "refused" if self.status in (429, 503) else "failed"


LOST = Answer(0, {}, b"")


def _record(kind: int, request_id: int, content: bytes = b"") -> bytes:
    return HEADER.pack(1, kind, request_id, len(content), 0) + content


def _length(size: int) -> bytes:
    return bytes([size]) if size < 128 else struct.pack(">I", size | 0x80000000)


def encode_request(request_id: int, params: dict[str, str]) -> bytes:
    """Return the records of one request without a body."""
    pairs = b""
    for name, value in params.items():
        raw_name, raw_value = name.encode(), value.encode()
        pairs += _length(len(raw_name)) + _length(len(raw_value)) + raw_name + raw_value
    return b"".join(
        (
            _record(BEGIN_REQUEST, request_id, RESPONDER_KEEP_CONN),
            _record(PARAMS, request_id, pairs),
            _record(PARAMS, request_id),
            _record(STDIN, request_id),
        )
    )


def _decode_answer(stdout: bytes, protocol_status: int) -> Answer:
    if protocol_status == OVERLOADED:
        return Answer(503, {}, b"")
    head, _, body = stdout.partition(b"\r\n\r\n")
    headers: dict[str, str] = {}
    for line in head.decode("latin-1").split("\r\n"):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Answer(int(headers.get("status", "200").split(" ")[0]), headers, body)


class FastCgiClient:
    """One connection of a web server of the front; the writes are complete requests."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._last_id = 0
        self._open: dict[int, asyncio.Future[Answer]] = {}
        self._stdout: dict[int, bytes] = {}
        self._reading = asyncio.create_task(self._read())

    @classmethod
    async def connect(cls, address: tuple[str, int]) -> FastCgiClient:
        """Connect to the front of a router."""
        reader, writer = await asyncio.open_connection(*address)
        return cls(reader, writer)

    def send(self, params: dict[str, str]) -> tuple[int, asyncio.Future[Answer]]:
        """Write a request; return its number on the connection, and its future answer."""
        self._last_id += 1
        answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        if self._reading.done():
            answer.set_result(LOST)
            return self._last_id, answer
        self._open[self._last_id] = answer
        self._stdout[self._last_id] = b""
        self._writer.write(encode_request(self._last_id, params))
        return self._last_id, answer

    def abort(self, request_id: int) -> None:
        """Stop waiting for a request: no answer is owed any more."""
        answer = self._open.pop(request_id, None)
        if answer is not None:
            answer.cancel()
            self._writer.write(_record(ABORT_REQUEST, request_id))

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()
        self._reading.cancel()

    async def _read(self) -> None:
        try:
            while True:
                _, kind, request_id, size, padding = HEADER.unpack(
                    await self._reader.readexactly(HEADER.size)
                )
                content = (await self._reader.readexactly(size + padding))[:size]
                if kind == STDOUT and request_id in self._stdout:
                    self._stdout[request_id] += content
                elif kind == END_REQUEST:
                    self._end(request_id, content)
        except (asyncio.IncompleteReadError, OSError):
            for answer in self._open.values():
                answer.set_result(LOST)
            self._open.clear()

    def _end(self, request_id: int, content: bytes) -> None:
        stdout = self._stdout.pop(request_id, b"")
        answer = self._open.pop(request_id, None)
        if answer is not None:
            answer.set_result(_decode_answer(stdout, content[4]))


async def is_taken_in(address: tuple[str, int]) -> bool:
    """Return whether a router answers the front's health check with status 200."""
    try:
        client = await FastCgiClient.connect(address)
    except OSError:
        return False
    _, answer = client.send({"SCRIPT_NAME": "/check"})
    try:
        return (await asyncio.wait_for(answer, 1.0)).status == 200
    except TimeoutError:
        return False
    finally:
        client.close()
