"""Readers of requests and responses of limited size."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto
from typing import TypeVar

from thornjunction.net.wire import ProtocolError
from thornjunction.net.wire.http1.headers import (
    content_length,
    decode_chunk_size,
    decode_headers,
    is_chunked,
    is_keep_alive,
)
from thornjunction.net.wire.http1.messages import HttpRequest, HttpResponse
from thornjunction.net.wire.message_reader import MessageReader

# Largest size of the start line and headers: several times what browsers send with a token in the URL.
MAX_HEAD_BYTES = 16_384

# Most lines of the start line and headers.
MAX_HEAD_LINES = 64

# Largest length of a line with a chunk's size and extensions, and of each line of a trailer.
MAX_LINE_BYTES = 256

# End of each line (RFC 9112 §2.2).
LINE_END = b"\r\n"

# End of the head: the end of the last header, and an empty line.
HEAD_END = b"\r\n\r\n"

# Number of digits of a status code (RFC 9110 §15).
STATUS_DIGITS = 3

# Number of parts of a request line: method, target and version (RFC 9112 §3).
REQUEST_LINE_PARTS = 3

# Memory counted for a message's head and for each of its headers, in addition to their bytes: the objects
# that describe them.
HEAD_OVERHEAD_BYTES = 512
HEADER_OVERHEAD_BYTES = 256


class _State(Enum):
    """Which element of a message the next bytes belong to."""

    HEAD = auto()
    BODY = auto()
    CHUNK_SIZE = auto()
    CHUNK_DATA = auto()
    CHUNK_END = auto()
    TRAILER = auto()
    COMPLETE = auto()


@dataclass(frozen=True, slots=True)
class _Head:
    """The start line and the headers; names are in lower case."""

    start_line: str
    headers: Mapping[str, str]
    received_bytes: int

    @property
    def size_bytes(self) -> int:
        """Number of bytes that it occupies."""
        return HEAD_OVERHEAD_BYTES + HEADER_OVERHEAD_BYTES * len(self.headers) + self.received_bytes


HttpMessage = TypeVar("HttpMessage", HttpRequest, HttpResponse)


class _HttpReader(MessageReader[HttpMessage]):
    """Splits a byte stream into messages, whose bodies have a Content-Length or chunks (RFC 9112 §6)."""

    def __init__(self, max_body_bytes: int) -> None:
        super().__init__()
        self._max_body_bytes = max_body_bytes
        self._buffer = bytearray()
        self._state = _State.HEAD
        self._head: _Head | None = None  # head of the incomplete message
        self._body = bytearray()  # received bytes of the body, except those that ``take_body`` has returned
        self._missing_bytes = 0  # missing bytes of the body, or of the current chunk
        self._announced_bytes = 0  # length of the body according to the headers and chunk sizes so far

    @property
    def buffered_bytes(self) -> int:
        """Bytes of an incomplete message."""
        head_bytes = 0 if self._head is None else self._head.size_bytes
        return len(self._buffer) + len(self._body) + head_bytes

    def _read_messages(self, data: bytes, messages: list[HttpMessage]) -> None:
        while (message := self.next(data)) is not None:
            messages.append(message)
            data = b""

    def next(self, data: bytes = b"") -> HttpMessage | None:
        """Return the first complete message, or None; bytes after it stay buffered.

        Raises:
            ProtocolError: the protocol was violated.
        """
        self._buffer += data
        while self._state is not _State.COMPLETE:
            if not self._advance():
                return None
        return self._finish()

    @abstractmethod
    def _build(self, head: _Head, body: bytes) -> HttpMessage:
        """Build the message from its head and body.

        Raises:
            ProtocolError: the start line is malformed.
        """

    def _finish(self) -> HttpMessage:
        """Build the complete message, and reset the state for the next one."""
        assert self._head is not None
        head = self._head
        body = bytes(self._body)
        self._head = None
        self._body.clear()
        self._state = _State.HEAD
        return self._build(head, body)

    def _advance(self) -> bool:
        """Read the next element of the message; False if it needs more bytes."""
        match self._state:
            case _State.HEAD:
                return self._read_head()
            case _State.BODY:
                return self._read_content(_State.COMPLETE)
            case _State.CHUNK_SIZE:
                return self._read_chunk_size()
            case _State.CHUNK_DATA:
                return self._read_content(_State.CHUNK_END)
            case _State.CHUNK_END:
                return self._read_chunk_end()
            case _:
                return self._read_trailer_line()

    def _read_head(self) -> bool:
        end = self._buffer.find(HEAD_END, 0, MAX_HEAD_BYTES)
        if end < 0:
            if len(self._buffer) >= MAX_HEAD_BYTES:
                raise ProtocolError("http-head-size")
            return False
        lines = bytes(self._buffer[:end]).split(LINE_END)
        del self._buffer[: end + len(HEAD_END)]
        if len(lines) > MAX_HEAD_LINES:
            raise ProtocolError("http-headers")
        headers = decode_headers(lines[1:])
        if is_chunked(headers):
            self._missing_bytes = 0
            self._state = _State.CHUNK_SIZE
        else:
            self._missing_bytes = content_length(headers, self._max_body_bytes)
            self._state = _State.BODY if self._missing_bytes else _State.COMPLETE
        self._announced_bytes = self._missing_bytes
        self._head = _Head(lines[0].decode("latin-1"), headers, end)
        return True

    def _read_content(self, following: _State) -> bool:
        """Move received bytes to the body; change the state at the end of the body or current chunk."""
        content = self._buffer[: self._missing_bytes]
        self._body += content
        del self._buffer[: len(content)]
        self._missing_bytes -= len(content)
        if self._missing_bytes:
            return False
        self._state = following
        return True

    def _read_chunk_size(self) -> bool:
        line = self._read_line()
        if line is None:
            return False
        self._missing_bytes = decode_chunk_size(line)
        self._announced_bytes += self._missing_bytes
        if self._announced_bytes > self._max_body_bytes:
            raise ProtocolError("http-body-size")
        self._state = _State.CHUNK_DATA if self._missing_bytes else _State.TRAILER
        return True

    def _read_chunk_end(self) -> bool:
        if len(self._buffer) < len(LINE_END):
            return False
        if not self._buffer.startswith(LINE_END):
            raise ProtocolError("http-chunk")
        del self._buffer[: len(LINE_END)]
        self._state = _State.CHUNK_SIZE
        return True

    def _read_trailer_line(self) -> bool:
        """Discard one line of the trailer; an empty one ends the message."""
        line = self._read_line()
        if line is None:
            return False
        if not line:
            self._state = _State.COMPLETE
        return True

    def _read_line(self) -> bytes | None:
        end = self._buffer.find(LINE_END, 0, MAX_LINE_BYTES)
        if end < 0:
            if len(self._buffer) >= MAX_LINE_BYTES:
                raise ProtocolError("http-line")
            return None
        line = bytes(self._buffer[:end])
        del self._buffer[: end + len(LINE_END)]
        return line


class RequestReader(_HttpReader[HttpRequest]):
    """Splits a byte stream into requests."""

    def _build(self, head: _Head, body: bytes) -> HttpRequest:
        parts = head.start_line.split(" ")
        if len(parts) != REQUEST_LINE_PARTS or not parts[0].isalpha() or not parts[1].startswith("/"):
            raise ProtocolError("http-request-line")
        keep_alive = is_keep_alive(parts[2], head.headers)
        size_bytes = head.size_bytes + len(body)
        return HttpRequest(parts[0], parts[1], head.headers, body, keep_alive, size_bytes)


class ResponseReader(_HttpReader[HttpResponse]):
    """Splits a byte stream into responses.

    ``head``, ``announced_bytes`` and ``take_body`` are used for bodies that are too long to be buffered.
    """

    @property
    def announced_bytes(self) -> int:
        """Least length of the incomplete response's body; 0 if there is no incomplete response."""
        return 0 if self._head is None else self._announced_bytes

    def head(self) -> HttpResponse:
        """Return the incomplete response without its body.

        Raises:
            ProtocolError: the status line is malformed.
        """
        assert self._head is not None
        return self._build(self._head, b"")

    def take_body(self) -> bytes:
        """Remove and return the received bytes of the incomplete response's body."""
        part = bytes(self._body)
        self._body.clear()
        return part

    def _build(self, head: _Head, body: bytes) -> HttpResponse:
        version, _, status_and_reason = head.start_line.partition(" ")
        status = status_and_reason[:STATUS_DIGITS]
        if len(status) < STATUS_DIGITS or not (status.isascii() and status.isdigit()):
            raise ProtocolError("http-status-line")
        return HttpResponse(int(status), head.headers, body, is_keep_alive(version, head.headers))
