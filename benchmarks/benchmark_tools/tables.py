"""Formats Markdown tables."""

from __future__ import annotations

from collections.abc import Iterable, Sequence


def markdown_row(cells: Iterable[object]) -> str:
    """Return one row of a table."""
    return f"| {' | '.join(str(cell) for cell in cells)} |"


def markdown_head(columns: Sequence[str]) -> str:
    """Return the header row of a table and the delimiter row below it."""
    return f"{markdown_row(columns)}\n|{'---|' * len(columns)}"


def markdown_table(columns: Sequence[str], rows: Iterable[Iterable[object]]) -> str:
    """Return a complete table."""
    return "\n".join([markdown_head(columns), *(markdown_row(row) for row in rows)])


def print_table(columns: Sequence[str], rows: Iterable[Iterable[object]]) -> None:
    """Print a complete table, followed by an empty line."""
    print(markdown_table(columns, rows) + "\n")
