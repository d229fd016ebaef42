"""A run as text: one column a node, time downwards, faults, messages and links drawn in.

Lifelines: `|` running, `:` paused, blank down. `|-X cut X->` is a link that breaks, `|-=healed=->` one that
heals, `|--ping-->` a message of note, with `x` before its head when it is lost.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from textwrap import wrap

from .trace import Entry, Kind

LIFELINES = {"started": "|", "continued": "|", "paused": ":", "killed": " ", "ended": " "}
TIME = 10  # width of the times
ARROWS = {Kind.BROKEN, Kind.HEALED, Kind.SENT, Kind.LOST}


class Renderer:
    """Draws entries one by one; `width` is that of a column."""

    def __init__(self, names: Sequence[str], width: int = 0) -> None:
        self.names = list(names)
        self.width = width or max(16, min(30, 150 // max(1, len(self.names))))
        self._lines = dict.fromkeys(self.names, " ")

    def head(self) -> str:
        return f"{'ms':>{TIME}}  {''.join(f'{name:<{self.width}}' for name in self.names)}".rstrip()

    def draw(self, entry: Entry) -> list[str]:
        """The rows of one entry; the first bears its time."""
        if entry.kind is Kind.LIFE:
            self._lines[entry.node] = LIFELINES[entry.text.split(" ")[0].rstrip(",")]
        if entry.kind in ARROWS:
            rows = [self._arrow(entry)]
        elif entry.node:
            rows = [self._cells({entry.node: part}) for part in self._wrapped(entry)]
        else:
            rows = [f"==== {entry.text} ".ljust(self.width * len(self.names), "=")]
        times = [f"{entry.at:{TIME}.1f}", *[" " * TIME] * (len(rows) - 1)]
        return [f"{time}  {row}".rstrip() for time, row in zip(times, rows, strict=True)]

    def _wrapped(self, entry: Entry) -> list[str]:
        marks = {Kind.FAULT: "! ", Kind.LIFE: "* "}
        return wrap(marks.get(entry.kind, "") + entry.text, self.width - 3) or [""]

    def _cells(self, texts: dict[str, str]) -> str:
        return "".join(f"{self._lines[n]} {texts.get(n, '')}".ljust(self.width) for n in self.names)

    def _arrow(self, entry: Entry) -> str:
        start, end = (self.names.index(name) * self.width for name in (entry.node, entry.other))
        low, high = min(start, end), max(start, end)
        room = high - low - 3  # between the lifelines, less the head
        text = _label(entry)[:room].center(room, "-")
        drawn = f"{text}->" if end > start else f"<-{text}"
        row = self._cells({})
        return row[: low + 1] + drawn + row[high:]


def _label(entry: Entry) -> str:
    labels = {Kind.BROKEN: "X cut X", Kind.HEALED: "=healed=", Kind.LOST: f"{entry.text} x"}
    return labels.get(entry.kind, entry.text)


def render(log: Iterable[Entry], names: Sequence[str], most: int = 0) -> str:
    """The whole timeline, or the last `most` entries of it; the same log gives the same text."""
    entries = list(log)
    skipped = max(0, len(entries) - most) if most else 0
    renderer = Renderer(names)
    rows = [row for entry in entries for row in [renderer.draw(entry)]][skipped:]
    head = [renderer.head()] + ([f"... {skipped} earlier entries left out"] if skipped else [])
    return "\n".join(head + [line for row in rows for line in row])
