"""Decoding of headers, of a message's length and of the connection's persistence."""

from __future__ import annotations

from collections.abc import Mapping

from thornjunction.net.wire import ProtocolError

# Most digits of a Content-Length; longer numbers exceed every limit.
MAX_LENGTH_DIGITS = 12

# Most hex digits of a chunk's size.
MAX_CHUNK_SIZE_DIGITS = 8

# Allowed bytes of a header's name (RFC 9110 §5.6.2).
TOKEN_BYTES = frozenset(b"!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz")

# Allowed bytes of a chunk's size (RFC 9112 §7.1).
HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")

# Headers that must not be repeated: two readers could interpret the message differently (RFC 9112 §11.2).
SINGLE_HEADERS = frozenset(("content-length", "host", "transfer-encoding"))


def decode_headers(lines: list[bytes]) -> dict[str, str]:
    """Decode headers; values of a repeated header are joined with commas (RFC 9110 §5.3).

    Raises:
        ProtocolError: ``http-header``, a line is malformed; ``http-header-twice``, one of ``SINGLE_HEADERS``
            is repeated.
    """
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


def is_chunked(headers: Mapping[str, str]) -> bool:
    """Return whether the body is sent in chunks (RFC 9112 §7.1).

    Raises:
        ProtocolError: ``http-framing``, the transfer coding is another one, or there is a Content-Length too.
    """
    coding = headers.get("transfer-encoding")
    if coding is None:
        return False
    if coding.lower() != "chunked" or "content-length" in headers:
        raise ProtocolError("http-framing")
    return True


def content_length(headers: Mapping[str, str], max_body_bytes: int) -> int:
    """Return the value of Content-Length; 0 if there is none.

    Raises:
        ProtocolError: ``http-length``, it is not a number, or ``http-body-size``, it exceeds the limit.
    """
    text = headers.get("content-length", "0")
    if not (text.isascii() and text.isdigit()):
        raise ProtocolError("http-length")
    if len(text) > MAX_LENGTH_DIGITS or int(text) > max_body_bytes:
        raise ProtocolError("http-body-size")
    return int(text)


def decode_chunk_size(line: bytes) -> int:
    """Return the size of a chunk in bytes; chunk extensions are ignored.

    Raises:
        ProtocolError: ``http-chunk``, the line has no size.
    """
    digits = line.partition(b";")[0].strip()
    if not digits or len(digits) > MAX_CHUNK_SIZE_DIGITS or not HEX_DIGITS.issuperset(digits):
        raise ProtocolError("http-chunk")
    return int(digits, 16)


def is_keep_alive(version: str, headers: Mapping[str, str]) -> bool:
    """Return whether the connection stays open after a message (RFC 9112 §9.3).

    Raises:
        ProtocolError: ``http-version``, the version is neither HTTP/1.1 nor HTTP/1.0.
    """
    if version not in ("HTTP/1.1", "HTTP/1.0"):
        raise ProtocolError("http-version")
    options = headers.get("connection", "").lower()
    if version == "HTTP/1.0":
        return "keep-alive" in options
    return "close" not in options
