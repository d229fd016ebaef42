"""Headers, and what they say of a message's length and its connection."""

from __future__ import annotations

from collections.abc import Mapping

from thornjunction.net.wire import ProtocolError

# Digits of a Content-Length: more are over every limit.
MAX_LENGTH_DIGITS = 12

# Hex digits of a chunk's size.
MAX_CHUNK_SIZE_DIGITS = 8

# Bytes of a header's name (RFC 9110 §5.6.2).
TOKEN_BYTES = frozenset(b"!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz")

# Bytes of a chunk's size (RFC 9112 §7.1).
HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")

# Headers of which a second one would let two readers see two different messages (RFC 9112 §11.2).
SINGLE_HEADERS = frozenset(("content-length", "host", "transfer-encoding"))


def decode_headers(lines: list[bytes]) -> dict[str, str]:
    """Decode headers; a repeated one is joined with commas (RFC 9110 §5.3), except ``SINGLE_HEADERS``.

    Raises:
        ProtocolError: ``http-header``, a line is malformed, or ``http-header-twice``.
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
    """Return whether the body comes in chunks (RFC 9112 §7.1).

    Raises:
        ProtocolError: ``http-framing``, another coding, or a Content-Length beside it.
    """
    coding = headers.get("transfer-encoding")
    if coding is None:
        return False
    if coding.lower() != "chunked" or "content-length" in headers:
        raise ProtocolError("http-framing")
    return True


def content_length(headers: Mapping[str, str], max_body_bytes: int) -> int:
    """Return the value of Content-Length; 0 where there is none.

    Raises:
        ProtocolError: ``http-length``, it is no number, or ``http-body-size``, it exceeds the limit.
    """
    text = headers.get("content-length", "0")
    if not (text.isascii() and text.isdigit()):
        raise ProtocolError("http-length")
    if len(text) > MAX_LENGTH_DIGITS or int(text) > max_body_bytes:
        raise ProtocolError("http-body-size")
    return int(text)


def decode_chunk_size(line: bytes) -> int:
    """Return the size of a chunk in bytes; extensions of the line are ignored.

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
        ProtocolError: ``http-version``, neither HTTP/1.1 nor HTTP/1.0.
    """
    if version not in ("HTTP/1.1", "HTTP/1.0"):
        raise ProtocolError("http-version")
    options = headers.get("connection", "").lower()
    if version == "HTTP/1.0":
        return "keep-alive" in options
    return "close" not in options
