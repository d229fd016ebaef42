"""The list of shelfs as it stands."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from control_relay.encoding import line, list_event


class Shelves:
    """Holds ``most`` shelfs at most; those that have left are not held, for a whole list tells who is
    there."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.number = 0  # of the last change, the relay's own; 0: no whole list has come
        self.seq: int | None = None
        self.passed_over = 0  # lines that could not be taken
        self._lines: dict[str, bytes] = {}
        self._whole = b""

    def __len__(self) -> int:
        return len(self._lines)

    def whole(self, hosts: Iterable[Any], seq: int | None) -> bool:
        """Take a whole list; False if it says what stands."""
        lines: dict[str, bytes] = {}
        self._enter(lines, hosts)
        if self.number and (lines, seq) == (self._lines, self.seq):
            return False
        self._lines, self.seq = lines, seq
        return True

    def change(self, hosts: Iterable[Any], seq: int | None) -> list[bytes]:
        """Take a change; returns the lines to be told."""
        self.seq = seq
        return self._enter(self._lines, hosts)

    def numbered(self, number: int) -> None:
        """What was taken last is told under this number."""
        self.number, self._whole = number, b""

    def event(self) -> bytes:
        """The whole list, under the number of its last change."""
        if not self._whole:
            self._whole = list_event(self.number, self.seq, True, self._lines.values())
        return self._whole

    def _enter(self, lines: dict[str, bytes], hosts: Iterable[Any]) -> list[bytes]:
        told = []
        for host in hosts:
            read = line(host)
            if read is None:
                self.passed_over += 1
                continue
            name, data, left = read
            if left:
                lines.pop(name, None)
            elif name in lines or len(lines) < self.most:
                lines[name] = data
            else:  # Guards memory; routers never hear of a shelf that is not held
                self.passed_over += 1
                continue
            told.append(data)
        return told
