"""HTTP/1.1 messages, bounded: requests for the second front, responses for the command channel."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Generic, TypeVar

from thornjunction.net.wire import ProtocolError

MAX_HEAD, MAX_HEADERS = 16_384, 64
TOKEN = frozenset(b"!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz")
REASONS = {
    200: "OK", 206: "Partial Content", 304: "Not Modified", 400: "Bad Request", 401: "Unauthorized",
    403: "Forbidden", 404: "Not Found", 405: "Method Not Allowed", 413: "Content Too Large",
    416: "Range Not Satisfiable", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
    502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout",
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class HttpRequest:
    method: str
    target: str
    headers: Mapping[str, str]  # names in lower case
    body: bytes
    keep: bool


@dataclass(frozen=True, slots=True)
class HttpResponse:
    status: int
    headers: Mapping[str, str]
    body: bytes
    keep: bool
    head: bool = False  # an answer to HEAD: the body's length is told, the body is not sent


STATUS_OF = {"http-head-size": 431, "http-headers": 431, "http-body-size": 413}  # else 400 (RFC 9110 §15.5)


M = TypeVar("M", HttpRequest, HttpResponse)


class _Reader(Generic[M]):
    """Cuts a byte stream into messages; bodies by Content-Length or in chunks."""

    def __init__(self, max_body: int) -> None:
        self._buffer = bytearray()
        self._max_body = max_body
        self._head: tuple[str, dict[str, str]] | None = None
        self._size = (
            0  # what is still to come of the body, or of the open chunk; -1: its line, or the last's end
        )
        self._told = 0  # of the body's length, so far
        self._chunked = self._trailing = False
        self._body = bytearray()
        self._fault: ProtocolError | None = None  # behind the messages that were returned last

    @property
    def held(self) -> int:
        """Bytes of a message that has come in part, with something for its head."""
        return len(self._buffer) + len(self._body) + 64 * (self._head is not None)

    def feed(self, data: bytes) -> list[M]:
        """All messages that are whole now.  What breaks the protocol behind them is raised by the next call:
        none of them is lost with it."""
        if self._fault is not None:
            raise self._fault
        messages: list[M] = []
        try:
            while (message := self.next(data)) is not None:
                messages.append(message)
                data = b""
        except ProtocolError as fault:
            if not messages:
                raise
            self._fault = fault
        return messages

    def next(self, data: bytes = b"") -> M | None:
        """The first whole message; what follows it stays, unread."""
        self._buffer += data
        return self._message()

    def _build(self, start: str, headers: Mapping[str, str], body: bytes) -> M:
        raise NotImplementedError

    def _message(self) -> M | None:
        if self._head is None and not self._read_head():
            return None
        if not (self._read_chunks() if self._chunked else self._read_body()):
            return None
        assert self._head is not None
        (start, headers), body = self._head, bytes(self._body)
        self._head = None
        self._body.clear()
        return self._build(start, headers, body)

    def _read_head(self) -> bool:
        end = self._buffer.find(b"\r\n\r\n", 0, MAX_HEAD)
        if end < 0:
            if len(self._buffer) >= MAX_HEAD:
                raise ProtocolError("http-head-size")
            return False
        lines = bytes(self._buffer[:end]).split(b"\r\n")
        del self._buffer[: end + 4]
        if len(lines) > MAX_HEADERS:
            raise ProtocolError("http-headers")
        headers = _headers(lines[1:])
        self._chunked, self._trailing = _is_chunked(headers), False
        self._size = -1 if self._chunked else _length(headers, self._max_body)
        self._told = max(self._size, 0)
        self._head = lines[0].decode("latin-1"), headers
        return True

    def _read_body(self) -> bool:
        """Take over what has come of the body, or of the open chunk; True: no more of it is to come."""
        part = self._buffer[: self._size]
        self._body += part
        del self._buffer[: len(part)]
        self._size -= len(part)
        return self._size == 0

    def _read_chunks(self) -> bool:
        """True once the last chunk and its trailer have come."""
        while not self._trailing:
            if self._size < 0:
                line = self._line()
                if line is None:
                    return False
                self._size = _chunk_size(line)
                self._trailing = self._size == 0
                self._told += self._size
                if self._told > self._max_body:
                    raise ProtocolError("http-body-size")
                continue
            if not self._read_body() or len(self._buffer) < 2:
                return False
            if self._buffer[:2] != b"\r\n":
                raise ProtocolError("http-chunk")
            del self._buffer[:2]
            self._size = -1
        while (line := self._line()) is not None:
            if not line:
                return True
        return False

    def _line(self) -> bytes | None:
        end = self._buffer.find(b"\r\n", 0, 256)
        if end < 0:
            if len(self._buffer) >= 256:
                raise ProtocolError("http-line")
            return None
        line = bytes(self._buffer[:end])
        del self._buffer[: end + 2]
        return line


class RequestReader(_Reader[HttpRequest]):
    def _build(self, start: str, headers: Mapping[str, str], body: bytes) -> HttpRequest:
        words = start.split(" ")
        if len(words) != 3 or not words[0].isalpha() or not words[1].startswith("/"):
            raise ProtocolError("http-request-line")
        return HttpRequest(words[0], words[1], headers, body, _keeps(words[2], headers))


class ResponseReader(_Reader[HttpResponse]):
    """``told`` and ``parts`` are for a body that is too long to be kept until it is whole."""

    @property
    def told(self) -> int:
        """Bytes that the open response's body has at least; 0 where none is open."""
        return self._told if self._head is not None else 0

    def head(self) -> HttpResponse:
        """The open response without its body."""
        assert self._head is not None
        return self._build(*self._head, b"")

    def parts(self) -> bytes:
        """What has come of the open response's body; taken from here, it is not in the response any more."""
        part = bytes(self._body)
        self._body.clear()
        return part

    def _build(self, start: str, headers: Mapping[str, str], body: bytes) -> HttpResponse:
        version, _, rest = start.partition(" ")
        if len(rest) < 3 or not (rest[:3].isascii() and rest[:3].isdigit()):
            raise ProtocolError("http-status-line")
        return HttpResponse(int(rest[:3]), headers, body, _keeps(version, headers))


def _headers(lines: list[bytes]) -> dict[str, str]:
    """Names in lower case.  A name that comes twice is joined, as the standard allows for lists; a second
    Content-Length or Host, which would let two readers see two messages, is an error."""
    headers: dict[str, str] = {}
    for line in lines:
        name, colon, value = line.partition(b":")
        if not colon or not name or not TOKEN.issuperset(name):
            raise ProtocolError("http-header")
        key, text = name.decode("ascii").lower(), value.strip(b" \t").decode("latin-1")
        if key in headers:
            if key in ("content-length", "host", "transfer-encoding"):
                raise ProtocolError("http-header-twice")
            text = f"{headers[key]}, {text}"
        headers[key] = text
    return headers


def _is_chunked(headers: Mapping[str, str]) -> bool:
    coding = headers.get("transfer-encoding")
    if coding is None:
        return False
    if coding.lower() != "chunked" or "content-length" in headers:
        raise ProtocolError("http-framing")
    return True


def _length(headers: Mapping[str, str], most: int) -> int:
    text = headers.get("content-length", "0")
    if not (text.isascii() and text.isdigit()):
        raise ProtocolError("http-length")
    if len(text) > 12 or int(text) > most:
        raise ProtocolError("http-body-size")
    return int(text)


def _chunk_size(line: bytes) -> int:
    digits = line.partition(b";")[0].strip()
    if not digits or len(digits) > 8 or not all(byte in b"0123456789abcdefABCDEF" for byte in digits):
        raise ProtocolError("http-chunk")
    return int(digits, 16)


def _keeps(version: str, headers: Mapping[str, str]) -> bool:
    if version not in ("HTTP/1.1", "HTTP/1.0"):
        raise ProtocolError("http-version")
    said = headers.get("connection", "").lower()
    return "close" not in said if version == "HTTP/1.1" else "keep-alive" in said


def encode_response(response: HttpResponse) -> bytes:
    lines = [f"HTTP/1.1 {response.status} {REASONS.get(response.status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    if response.status != 304:
        lines.append(f"Content-Length: {len(response.body)}")
    if not response.keep:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + (b"" if response.head else response.body)


def encode_get(target: str, host: str) -> bytes:
    return f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode("latin-1")
