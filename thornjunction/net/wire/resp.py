"""RESP arrays of bulk strings."""

from __future__ import annotations

from collections.abc import Sequence

from thornjunction.net.wire import ProtocolError

MAX_ITEMS, MAX_BULK, MAX_LINE = 8, 240_000, 32


class ArrayReader:
    """Cuts a byte stream into arrays; keeps its place, so a large bulk is not read over and over."""

    def __init__(self, max_bulk: int = MAX_BULK) -> None:
        self._buffer = bytearray()
        self._max_bulk = max_bulk
        self._items: list[bytes] = []
        self._left = 0  # items still to come of the open array; 0: none is open
        self._size = -1  # of the open bulk; -1: its line has not come

    def feed(self, data: bytes) -> list[tuple[bytes, ...]]:
        self._buffer += data
        arrays: list[tuple[bytes, ...]] = []
        while self._step():
            if self._left == 0:
                arrays.append(tuple(self._items))
                self._items = []
        return arrays

    @property
    def held(self) -> int:
        """Bytes of an array that has begun and not come whole, with something for its start."""
        return len(self._buffer) + sum(map(len, self._items)) + 64 * (self._left > 0)

    def _step(self) -> bool:
        """Read one line or bulk; False if it has not come whole."""
        if self._left == 0:
            count = self._line(b"*", MAX_ITEMS)
            self._left = max(count, 0)
            if count == 0:
                raise ProtocolError("resp-empty")
            return count > 0
        if self._size < 0:
            self._size = self._line(b"$", self._max_bulk)
            return self._size >= 0
        end = self._size + 2
        if len(self._buffer) < end:
            return False
        if self._buffer[self._size : end] != b"\r\n":
            raise ProtocolError("resp-bulk-end")
        self._items.append(bytes(self._buffer[: self._size]))
        del self._buffer[:end]
        self._left, self._size = self._left - 1, -1
        return True

    def _line(self, mark: bytes, most: int) -> int:
        """The number of a line; -1 if the line has not come whole."""
        end = self._buffer.find(b"\r\n", 0, MAX_LINE)
        if end < 0:
            if len(self._buffer) >= MAX_LINE or (self._buffer and self._buffer[:1] != mark):
                raise ProtocolError("resp-line")
            return -1
        digits = bytes(self._buffer[1:end])
        if self._buffer[:1] != mark or not digits.isdigit() or int(digits) > most:
            raise ProtocolError("resp-line")
        del self._buffer[: end + 2]
        return int(digits)


def encode_array(items: Sequence[bytes]) -> bytes:
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%s\r\n" % (len(item), item) for item in items)
