"""The report of a run in Markdown: tables, verdicts and findings."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

SIGNIFICANT_DIGITS = 3
# Smaller numbers are written with an exponent.
MIN_PLAIN_NUMBER = 1e-6


class RowLengthError(ValueError):
    """The number of cells in a row differs from the number of columns of its table."""

    def __init__(self, title: str, cell_count: int, column_count: int) -> None:
        super().__init__(f"{title}: {cell_count} cells in a table of {column_count} columns")


@dataclass(slots=True)
class Table:
    """A table with a title above it and notes below it."""

    title: str
    columns: tuple[str, ...]
    rows: list[tuple[str, ...]] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)

    def add(self, *cells: object) -> None:
        """Add a row.  Raises RowLengthError if it has not one cell for each column."""
        row = tuple(format_cell(cell) for cell in cells)
        if len(row) != len(self.columns):
            raise RowLengthError(self.title, len(row), len(self.columns))
        self.rows.append(row)


def format_cell(cell: object) -> str:
    """Format a cell: finite floats with three significant digits, others as "none", the rest by ``str``."""
    if not isinstance(cell, float):
        return str(cell)
    if not math.isfinite(cell):
        return "none"
    magnitude = abs(cell)
    if magnitude == 0 or magnitude >= 10 ** (SIGNIFICANT_DIGITS - 1):
        return f"{cell:.0f}"
    if magnitude < MIN_PLAIN_NUMBER:
        return f"{cell:.1e}"
    decimals = max(SIGNIFICANT_DIGITS - 1 - math.floor(math.log10(magnitude)), 0)
    return f"{cell:.{decimals}f}"


@dataclass(slots=True)
class Report:
    """The report of one run; ``command`` is the command line that reproduces it."""

    command: str
    tables: list[Table] = field(default_factory=list)
    verdicts: list[tuple[str, bool]] = field(default_factory=list)
    findings: list[str] = field(default_factory=list)

    def table(self, title: str, *columns: str) -> Table:
        """Append a table without rows and return it."""
        table = Table(title, columns)
        self.tables.append(table)
        return table

    def verdict(self, statement: str, holds: bool) -> None:
        """Record whether a statement holds; statements are about counts and order, never about durations."""
        self.verdicts.append((statement, holds))

    @property
    def failed(self) -> list[str]:
        """The statements that do not hold."""
        return [statement for statement, holds in self.verdicts if not holds]

    def markdown(self) -> str:
        """The complete report as Markdown."""
        parts = [f"Made by `{self.command}`.\n"]
        for table in self.tables:
            parts.append(f"## {table.title}\n\n{_markdown_table(table.columns, table.rows)}")
            parts += [f"{note}\n" for note in table.notes]
        if self.verdicts:
            rows = [(statement, "holds" if holds else "**fails**") for statement, holds in self.verdicts]
            parts.append("## Verdicts\n\n" + _markdown_table(("on counts and orders", ""), rows))
        if self.findings:
            lines = "\n".join(f"- {finding}" for finding in self.findings)
            parts.append(f"## Findings\n\n{lines}\n")
        return "\n".join(parts)

    def write(self, path: Path) -> None:
        """Write the report to a file, whose folder is created if needed."""
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(self.markdown(), encoding="utf-8")


def _markdown_table(columns: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = [columns, ["---"] * len(columns), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)
