"""List events taken together, as the one list that they come to."""

from __future__ import annotations

from typing import Any

from control_client.seam import ListEvent


class Fold:
    """Holds ``most`` shelfs; ``overfull`` counts lines past that, which are passed over."""

    def __init__(self, most: int) -> None:
        self.most, self.overfull = most, 0
        self.clear()

    def clear(self) -> None:
        self.number, self.seq = 0, None
        self.whole = self.lost = False  # a whole list has come; a change has come before one
        self.lines: dict[str, Any] = {}

    number: int
    seq: int | None

    def add(self, event: ListEvent) -> None:
        if event.whole:
            self.whole, self.lines = True, {}
        elif not self.whole:
            self.lost = True
            return
        self.number, self.seq = event.number, event.seq if event.seq is not None else self.seq
        for name, line in event.lines.items():
            if line is None:
                self.lines.pop(name, None)
            elif name in self.lines or len(self.lines) < self.most:
                self.lines[name] = line
            else:
                self.overfull += 1

    def event(self) -> ListEvent:
        return ListEvent(self.number, self.seq, True, self.lines)
