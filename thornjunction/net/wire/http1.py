"""HTTP/1.1 messages (RFC 9112), bounded in size: readers for requests and responses, and encoders."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto
from typing import Generic, TypeVar

from thornjunction.net.wire import ProtocolError

MAX_HEAD_BYTES = 16_384
"""Start line and headers of a message: some times what browsers send, with a token in the URL."""

MAX_HEAD_LINES = 64
"""Lines of the start line and the headers."""

MAX_LINE_BYTES = 256
"""Line of a chunk's size with its extensions, and each line of a trailer."""

MAX_LENGTH_DIGITS = 12
"""Digits of a Content-Length: more are over every limit."""

MAX_CHUNK_SIZE_DIGITS = 8
"""Hex digits of a chunk's size."""

LINE_END = b"\r\n"
"""End of each line (RFC 9112 §2.2)."""

HEAD_END = b"\r\n\r\n"
"""End of the head: the last header's, and an empty line."""

STATUS_DIGITS = 3
"""Digits of a status (RFC 9110 §15)."""

REQUEST_LINE_PARTS = 3
"""Method, target and version (RFC 9112 §3)."""

HEAD_OVERHEAD_BYTES = 64
"""Memory counted for the head of an incomplete message."""

TOKEN_BYTES = frozenset(b"!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz")
"""Bytes of a header's name (RFC 9110 §5.6.2)."""

HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")
"""Bytes of a chunk's size (RFC 9112 §7.1)."""

SINGLE_HEADERS = frozenset(("content-length", "host", "transfer-encoding"))
"""Headers of which a second one would let two readers see two different messages (RFC 9112 §11.2)."""

REASONS = {
    200: "OK",
    206: "Partial Content",
    304: "Not Modified",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    413: "Content Too Large",
    416: "Range Not Satisfiable",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
"""Reason phrases by status."""

STATUS_OF = {"http-head-size": 431, "http-headers": 431, "http-body-size": 413}
"""Status for a request that cannot be read, by the error's code; 400 for others (RFC 9110 §15.5)."""


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request.

    Attributes:
        method: as it came; methods are case-sensitive.
        target: path and query, in origin form.
        headers: values by name in lower case.
        body: its content.
        keep_alive: whether the connection stays open after the response.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response.

    Attributes:
        status: its status code.
        headers: values by name; of a response that was read, in lower case.
        body: its content.
        keep_alive: whether the connection stays open after it.
        head: whether it answers HEAD: the body's length is sent, the body is not.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    keep_alive: bool
    head: bool = False


class _State(Enum):
    """What the next bytes of a message are."""

    HEAD = auto()
    BODY = auto()
    CHUNK_SIZE = auto()
    CHUNK_DATA = auto()
    CHUNK_END = auto()
    TRAILER = auto()
    COMPLETE = auto()


@dataclass(frozen=True, slots=True)
class _Head:
    """The start line and the headers, names in lower case."""

    start_line: str
    headers: Mapping[str, str]


M = TypeVar("M", HttpRequest, HttpResponse)


class _MessageReader(Generic[M]):
    """Splits a byte stream into messages; bodies by Content-Length or in chunks (RFC 9112 §6)."""

    def __init__(self, max_body_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._buffer = bytearray()
        self._state = _State.HEAD
        self._head: _Head | None = None  # of the open message
        self._body = bytearray()  # what of it has arrived, and was not taken
        self._missing_bytes = 0  # of the body, or of the open chunk
        self._announced_bytes = 0  # of the body, so far
        self._deferred_error: ProtocolError | None = None  # follows the messages that were returned last

    @property
    def held(self) -> int:
        """Bytes of an incomplete message, with an overhead for its head."""
        overhead = 0 if self._head is None else HEAD_OVERHEAD_BYTES
        return len(self._buffer) + len(self._body) + overhead

    def feed(self, data: bytes) -> list[M]:
        """Return all messages that are complete now.

        Raises:
            ProtocolError: the protocol was violated.  Messages that precede the violation are returned
                first, and the next call raises it, so that none of them is lost.
        """
        if self._deferred_error is not None:
            raise self._deferred_error
        messages: list[M] = []
        try:
            while (message := self.next(data)) is not None:
                messages.append(message)
                data = b""
        except ProtocolError as error:
            if not messages:
                raise
            self._deferred_error = error
        return messages

    def next(self, data: bytes = b"") -> M | None:
        """Return the first complete message; what follows it stays buffered.

        Raises:
            ProtocolError: the protocol was violated.
        """
        self._buffer += data
        while self._state is not _State.COMPLETE:
            if not self._advance():
                return None
        return self._finish()

    def _build(self, head: _Head, body: bytes) -> M:
        raise NotImplementedError

    def _finish(self) -> M:
        """Build the complete message, and make ready for the next one."""
        assert self._head is not None
        head = self._head
        body = bytes(self._body)
        self._head = None
        self._body.clear()
        self._state = _State.HEAD
        return self._build(head, body)

    def _advance(self) -> bool:
        """Take one step in the current state; False where it needs more bytes."""
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
        headers = _decode_headers(lines[1:])
        if _is_chunked(headers):
            self._missing_bytes = 0
            self._state = _State.CHUNK_SIZE
        else:
            self._missing_bytes = _content_length(headers, self._max_body_bytes)
            self._state = _State.BODY
        self._announced_bytes = self._missing_bytes
        self._head = _Head(lines[0].decode("latin-1"), headers)
        return True

    def _read_content(self, following: _State) -> bool:
        """Move what has arrived of the body, or of the open chunk; at its end, change the state."""
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
        self._missing_bytes = _decode_chunk_size(line)
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


class RequestReader(_MessageReader[HttpRequest]):
    """Splits a byte stream into requests."""

    def _build(self, head: _Head, body: bytes) -> HttpRequest:
        parts = head.start_line.split(" ")
        if len(parts) != REQUEST_LINE_PARTS or not parts[0].isalpha() or not parts[1].startswith("/"):
            raise ProtocolError("http-request-line")
        return HttpRequest(parts[0], parts[1], head.headers, body, _is_keep_alive(parts[2], head.headers))


class ResponseReader(_MessageReader[HttpResponse]):
    """Splits a byte stream into responses.

    ``head``, ``announced_bytes`` and ``take_body`` are for a body that is too long to be buffered.
    """

    @property
    def announced_bytes(self) -> int:
        """Length that the incomplete response's body has at least; 0: there is none."""
        return 0 if self._head is None else self._announced_bytes

    def head(self) -> HttpResponse:
        """Return the incomplete response without its body.

        Raises:
            ProtocolError: its status line is malformed.
        """
        assert self._head is not None
        return self._build(self._head, b"")

    def take_body(self) -> bytes:
        """Remove and return what has arrived of the incomplete response's body."""
        part = bytes(self._body)
        self._body.clear()
        return part

    def _build(self, head: _Head, body: bytes) -> HttpResponse:
        version, _, rest = head.start_line.partition(" ")
        status = rest[:STATUS_DIGITS]
        if len(status) < STATUS_DIGITS or not (status.isascii() and status.isdigit()):
            raise ProtocolError("http-status-line")
        return HttpResponse(int(status), head.headers, body, _is_keep_alive(version, head.headers))


def _decode_headers(lines: list[bytes]) -> dict[str, str]:
    """Decode headers; a repeated one is joined with commas (RFC 9110 §5.3), except ``SINGLE_HEADERS``."""
    headers: dict[str, str] = {}
    for line in lines:
        raw_name, colon, raw_value = line.partition(b":")
        if not colon or not raw_name or not TOKEN_BYTES.issuperset(raw_name):
            raise ProtocolError("http-header")
        name = raw_name.decode("ascii").lower()
        value = raw_value.strip(b" \t").decode("latin-1")
        if name in headers:
            if name in SINGLE_HEADERS:
                raise ProtocolError("http-header-twice")
            value = f"{headers[name]}, {value}"
        headers[name] = value
    return headers


def _is_chunked(headers: Mapping[str, str]) -> bool:
    coding = headers.get("transfer-encoding")
    if coding is None:
        return False
    if coding.lower() != "chunked" or "content-length" in headers:
        raise ProtocolError("http-framing")
    return True


def _content_length(headers: Mapping[str, str], largest: int) -> int:
    text = headers.get("content-length", "0")
    if not (text.isascii() and text.isdigit()):
        raise ProtocolError("http-length")
    if len(text) > MAX_LENGTH_DIGITS or int(text) > largest:
        raise ProtocolError("http-body-size")
    return int(text)


def _decode_chunk_size(line: bytes) -> int:
    digits = line.partition(b";")[0].strip()
    if not digits or len(digits) > MAX_CHUNK_SIZE_DIGITS or not HEX_DIGITS.issuperset(digits):
        raise ProtocolError("http-chunk")
    return int(digits, 16)


def _is_keep_alive(version: str, headers: Mapping[str, str]) -> bool:
    """Whether the connection stays open after a message (RFC 9112 §9.3)."""
    if version not in ("HTTP/1.1", "HTTP/1.0"):
        raise ProtocolError("http-version")
    options = headers.get("connection", "").lower()
    if version == "HTTP/1.0":
        return "keep-alive" in options
    return "close" not in options


def encode_response(response: HttpResponse) -> bytes:
    """Encode a response, its length included; 304 has none (RFC 9110 §15.4.5)."""
    lines = [f"HTTP/1.1 {response.status} {REASONS.get(response.status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    if response.status != 304:
        lines.append(f"Content-Length: {len(response.body)}")
    if not response.keep_alive:
        lines.append("Connection: close")
    head = "\r\n".join([*lines, "", ""]).encode("latin-1")
    return head if response.head else head + response.body


def encode_get(target: str, host: str) -> bytes:
    """Encode a GET request without further headers."""
    return f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode("latin-1")
