"""Encoding of parameters as name-value pairs (§3.4)."""

from __future__ import annotations

from collections.abc import Container, Iterable
from typing import NamedTuple

from thornjunction.net.wire import ProtocolError

# Lengths below this limit take one byte, others four with the highest bit set (§3.4).
SHORT_LENGTH_LIMIT = 0x80

# The highest bit of a length of four bytes.
LONG_LENGTH_FLAG = 0x80000000

# Most pairs that are decoded; web servers send a few dozen.
MAX_PAIRS = 256

# Size of a length that does not fit into one byte.
LONG_LENGTH_BYTES = 4


class _Length(NamedTuple):
    """A decoded length, and the position after it."""

    value: int
    end: int


def decode_pairs(data: bytes, names: Container[str]) -> dict[str, str]:
    """Decode name-value pairs (§3.4); text is ISO 8859-1.

    Args:
        data: the encoded pairs.
        names: names of the pairs that are returned.  The others are skipped: in a dictionary, a short pair
            would take thirty times the memory of its bytes.

    Raises:
        ProtocolError: ``fastcgi-pairs``, a length exceeds the data.
        ProtocolError: ``fastcgi-pairs-count``, there are more than ``MAX_PAIRS``.
    """
    pairs: dict[str, str] = {}
    count = 0
    text = data.decode("latin-1")
    size = len(data)
    short = SHORT_LENGTH_LIMIT  # a local name is faster; this runs for each parameter of each request
    position = 0
    while position < size:
        count += 1
        if count > MAX_PAIRS:
            raise ProtocolError("fastcgi-pairs-count")
        name_length = data[position]
        value_length = data[position + 1] if position + 1 < size else short
        if name_length < short and value_length < short:
            name_start = position + 2  # nearly always, both lengths are short; this avoids the calls below
        else:
            long_name = _decode_length(data, position)
            long_value = _decode_length(data, long_name.end)
            name_length = long_name.value
            value_length = long_value.value
            name_start = long_value.end
        value_start = name_start + name_length
        position = value_start + value_length
        if position > size:
            raise ProtocolError("fastcgi-pairs")
        name = text[name_start:value_start]
        if name in names:
            pairs[name] = text[value_start:position]
    return pairs


def _decode_length(data: bytes, position: int) -> _Length:
    if position < len(data) and data[position] < SHORT_LENGTH_LIMIT:
        return _Length(data[position], position + 1)
    end = position + LONG_LENGTH_BYTES
    if end > len(data):
        raise ProtocolError("fastcgi-pairs")
    return _Length(int.from_bytes(data[position:end], "big") & ~LONG_LENGTH_FLAG, end)


def encode_pairs(pairs: Iterable[tuple[str, str]]) -> bytes:
    """Encode name-value pairs (§3.4)."""
    encoded = bytearray()
    for name, value in pairs:
        raw_name = name.encode("latin-1")
        raw_value = value.encode("latin-1")
        encoded += _encode_length(len(raw_name)) + _encode_length(len(raw_value)) + raw_name + raw_value
    return bytes(encoded)


def _encode_length(length: int) -> bytes:
    if length < SHORT_LENGTH_LIMIT:
        return bytes([length])
    return (length | LONG_LENGTH_FLAG).to_bytes(LONG_LENGTH_BYTES, "big")
