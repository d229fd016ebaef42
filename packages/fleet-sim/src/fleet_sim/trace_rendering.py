"""Renders a trace as text: one column per node, with the entries from top to bottom in order of time.

Lifelines: ``|`` running, ``:`` paused, blank down.  ``|-X cut X->`` is a link that is cut,
``|-=healed=->`` one that is healed, ``|--ping-->`` a message, with ``x`` before the arrow head if it is lost.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from textwrap import wrap

from .trace import EntryKind, TraceEntry

# The character of a node's lifeline after a process entry, by the first word of the entry's text.
LIFELINES = {"started": "|", "continued": "|", "paused": ":", "killed": " ", "ended": " "}

# Width of the time column in characters.
TIME_WIDTH = 10

# Minimum width of a node's column in characters.
MIN_COLUMN_WIDTH = 16

# Maximum width of a node's column in characters.
MAX_COLUMN_WIDTH = 30

# Width in characters that all node columns together should not exceed.
LINE_WIDTH = 150

# Kinds of entries that are drawn as arrows from one node to another.
ARROW_KINDS = {EntryKind.LINK_CUT, EntryKind.LINK_HEALED, EntryKind.SENT, EntryKind.LOST}

# Prefixes that distinguish faults and process changes from notices.
TEXT_PREFIXES = {EntryKind.FAULT: "! ", EntryKind.PROCESS: "* "}


class TraceRenderer:
    """Draws entries one by one; ``column_width`` 0 selects a width by the number of nodes."""

    def __init__(self, names: Sequence[str], column_width: int = 0) -> None:
        self.names = list(names)
        fitting_width = LINE_WIDTH // max(1, len(self.names))
        self.column_width = column_width or max(MIN_COLUMN_WIDTH, min(MAX_COLUMN_WIDTH, fitting_width))
        self._lifelines = dict.fromkeys(self.names, " ")

    def header(self) -> str:
        """Return the row of the nodes' names."""
        columns = "".join(f"{name:<{self.column_width}}" for name in self.names)
        return f"{'ms':>{TIME_WIDTH}}  {columns}".rstrip()

    def draw(self, entry: TraceEntry) -> list[str]:
        """Return the rows of an entry; the first one contains its time."""
        if entry.kind is EntryKind.PROCESS:
            self._lifelines[entry.node] = LIFELINES[entry.text.split(" ")[0].rstrip(",")]
        if entry.kind in ARROW_KINDS:
            rows = [self._arrow(entry)]
        elif entry.node:
            rows = [self._row({entry.node: part}) for part in self._wrapped(entry)]
        else:
            rows = [f"==== {entry.text} ".ljust(self.column_width * len(self.names), "=")]
        times = [f"{entry.at_ms:{TIME_WIDTH}.1f}", *[" " * TIME_WIDTH] * (len(rows) - 1)]
        return [f"{time}  {row}".rstrip() for time, row in zip(times, rows, strict=True)]

    def _wrapped(self, entry: TraceEntry) -> list[str]:
        return wrap(TEXT_PREFIXES.get(entry.kind, "") + entry.text, self.column_width - 3) or [""]

    def _row(self, texts: dict[str, str]) -> str:
        cells = [f"{self._lifelines[name]} {texts.get(name, '')}" for name in self.names]
        return "".join(cell.ljust(self.column_width) for cell in cells)

    def _arrow(self, entry: TraceEntry) -> str:
        start = self.names.index(entry.node) * self.column_width
        end = self.names.index(entry.peer) * self.column_width
        left = min(start, end)
        right = max(start, end)
        text_width = right - left - 3  # between the lifelines, minus the arrow head
        text = _arrow_label(entry)[:text_width].center(text_width, "-")
        arrow = f"{text}->" if end > start else f"<-{text}"
        row = self._row({})
        return row[: left + 1] + arrow + row[right:]


def _arrow_label(entry: TraceEntry) -> str:
    match entry.kind:
        case EntryKind.LINK_CUT:
            return "X cut X"
        case EntryKind.LINK_HEALED:
            return "=healed="
        case EntryKind.LOST:
            return f"{entry.text} x"
        case _:
            return entry.text


def render_trace(trace: Iterable[TraceEntry], names: Sequence[str], max_entries: int = 0) -> str:
    """Return the timeline of a trace, or of its last ``max_entries`` entries (0: all of them).

    Equal traces give equal texts.
    """
    renderer = TraceRenderer(names)
    drawn = [renderer.draw(entry) for entry in trace]  # skipped entries too, since they set the lifelines
    skipped = max(0, len(drawn) - max_entries) if max_entries else 0
    lines = [renderer.header()]
    if skipped:
        lines.append(f"... {skipped} earlier entries left out")
    lines += [line for rows in drawn[skipped:] for line in rows]
    return "\n".join(lines)
