"""The report of a run in Markdown: tables, verdicts and findings."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

SIGNIFICANT_DIGITS = 3
# Numbers below it are written with an exponent.
MIN_PLAIN_NUMBER = 1e-6


class RowLengthError(ValueError):
    """A row has another number of cells than its table has heads."""

    def __init__(self, question: str, cell_count: int, head_count: int) -> None:
        super().__init__(f"{question}: {cell_count} cells under {head_count} heads")


@dataclass(slots=True)
class Table:
    """The answer to one question; the notes stand below the table."""

    question: str
    head: tuple[str, ...]
    rows: list[tuple[str, ...]] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)

    def add(self, *cells: object) -> None:
        """Add a row.  Raises RowLengthError if its length is not that of the head."""
        row = tuple(format_cell(cell) for cell in cells)
        if len(row) != len(self.head):
            raise RowLengthError(self.question, len(row), len(self.head))
        self.rows.append(row)


def format_cell(cell: object) -> str:
    """Return the text of a cell: a float with three significant digits, anything else as it is."""
    if not isinstance(cell, float):
        return str(cell)
    if not math.isfinite(cell):
        return "none"
    size = abs(cell)
    if size == 0 or size >= 10 ** (SIGNIFICANT_DIGITS - 1):
        return f"{cell:.0f}"
    if size < MIN_PLAIN_NUMBER:
        return f"{cell:.1e}"
    decimals = max(SIGNIFICANT_DIGITS - 1 - math.floor(math.log10(size)), 0)
    return f"{cell:.{decimals}f}"


@dataclass(slots=True)
class Report:
    """The report of one run, which ``command`` repeats."""

    command: str
    tables: list[Table] = field(default_factory=list)
    verdicts: list[tuple[str, bool]] = field(default_factory=list)
    findings: list[str] = field(default_factory=list)

    def table(self, question: str, *head: str) -> Table:
        """Add a table without rows and return it."""
        table = Table(question, head)
        self.tables.append(table)
        return table

    def verdict(self, statement: str, holds: bool) -> None:
        """Add whether a statement holds; statements are on counts and orders, never on durations."""
        self.verdicts.append((statement, holds))

    @property
    def failed(self) -> list[str]:
        """The statements that do not hold."""
        return [statement for statement, holds in self.verdicts if not holds]

    def markdown(self) -> str:
        """The whole report as Markdown."""
        parts = [f"Made by `{self.command}`.\n"]
        for table in self.tables:
            parts.append(f"## {table.question}\n\n{_grid(table.head, table.rows)}")
            parts += [f"{note}\n" for note in table.notes]
        if self.verdicts:
            rows = [(statement, "holds" if holds else "**fails**") for statement, holds in self.verdicts]
            parts.append("## Verdicts\n\n" + _grid(("on counts and orders", ""), rows))
        if self.findings:
            lines = "\n".join(f"- {finding}" for finding in self.findings)
            parts.append(f"## Findings\n\n{lines}\n")
        return "\n".join(parts)

    def write(self, path: Path) -> None:
        """Write the report to a file, whose folder is created if needed."""
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(self.markdown(), encoding="utf-8")


def _grid(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)
