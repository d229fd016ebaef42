"""The subset of RESP, the protocol of Redis, that cache servers use: arrays of bulk strings."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum, auto

from thornjunction.net.wire import ProtocolError

# Most items of an array; the longest message of a cache server has four.
MAX_ITEMS = 8

# Default limit for the length of a bulk string, such as the body of a response.
MAX_BULK = 240_000

# Largest length of a line with a count, including its end.
MAX_LINE_BYTES = 32

# First byte of the line that begins an array.
ARRAY_MARK = b"*"

# First byte of the line that begins a bulk string.
BULK_MARK = b"$"

# End of each line and of each bulk string.
LINE_END = b"\r\n"

# Memory counted for an incomplete array in addition to its items.
ARRAY_OVERHEAD_BYTES = 64


class _State(Enum):
    """Which element of an array the next bytes belong to."""

    ARRAY_HEADER = auto()
    BULK_HEADER = auto()
    BULK = auto()


class ArrayReader:
    """Splits a byte stream into arrays; keeps its state, so that long bulk strings are not parsed repeatedly.

    Args:
        max_bulk: largest length of a bulk string in bytes.
    """

    def __init__(self, max_bulk: int = MAX_BULK) -> None:
        self._buffer = bytearray()
        self._max_bulk_bytes = max_bulk
        self._state = _State.ARRAY_HEADER
        self._items: list[bytes] = []
        self._missing_items = 0  # missing items of the incomplete array
        self._bulk_bytes = 0  # length of the incomplete bulk string

    def feed(self, data: bytes) -> list[tuple[bytes, ...]]:
        """Return all arrays that are complete with these bytes.

        Raises:
            ProtocolError: ``resp-line``, a line is malformed or its number too large; ``resp-empty``, an
                array has no items; ``resp-bulk-end``, a bulk string does not end with a line end.
        """
        self._buffer += data
        arrays: list[tuple[bytes, ...]] = []
        while self._advance():
            if self._state is _State.ARRAY_HEADER:
                arrays.append(tuple(self._items))
                self._items = []
        return arrays

    @property
    def buffered_bytes(self) -> int:
        """Bytes of an incomplete array, with an overhead for the array itself."""
        overhead = 0 if self._state is _State.ARRAY_HEADER else ARRAY_OVERHEAD_BYTES
        return len(self._buffer) + sum(map(len, self._items)) + overhead

    def _advance(self) -> bool:
        """Read one array header, bulk header or bulk string; False if it is incomplete."""
        if self._state is _State.BULK:
            return self._read_bulk()
        if self._state is _State.BULK_HEADER:
            return self._read_bulk_header()
        return self._read_array_header()

    def _read_array_header(self) -> bool:
        count = self._read_number(ARRAY_MARK, MAX_ITEMS)
        if count is None:
            return False
        if count == 0:
            raise ProtocolError("resp-empty")
        self._missing_items = count
        self._state = _State.BULK_HEADER
        return True

    def _read_bulk_header(self) -> bool:
        length = self._read_number(BULK_MARK, self._max_bulk_bytes)
        if length is None:
            return False
        self._bulk_bytes = length
        self._state = _State.BULK
        return True

    def _read_bulk(self) -> bool:
        end = self._bulk_bytes + len(LINE_END)
        if len(self._buffer) < end:
            return False
        if self._buffer[self._bulk_bytes : end] != LINE_END:
            raise ProtocolError("resp-bulk-end")
        self._items.append(bytes(self._buffer[: self._bulk_bytes]))
        del self._buffer[:end]
        self._missing_items -= 1
        self._state = _State.BULK_HEADER if self._missing_items else _State.ARRAY_HEADER
        return True

    def _read_number(self, mark: bytes, max_value: int) -> int | None:
        """Read a line that consists of a mark and a number; None if it is incomplete."""
        end = self._buffer.find(LINE_END, 0, MAX_LINE_BYTES)
        if end < 0:
            if len(self._buffer) >= MAX_LINE_BYTES or (self._buffer and self._buffer[:1] != mark):
                raise ProtocolError("resp-line")
            return None
        digits = bytes(self._buffer[1:end])
        if self._buffer[:1] != mark or not digits.isdigit() or int(digits) > max_value:
            raise ProtocolError("resp-line")
        del self._buffer[: end + len(LINE_END)]
        return int(digits)


def encode_array(items: Sequence[bytes]) -> bytes:
    """Encode an array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%s\r\n" % (len(item), item) for item in items)
