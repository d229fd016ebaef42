"""Markdown tables."""

from __future__ import annotations

from collections.abc import Iterable, Sequence


def markdown_row(cells: Iterable[object]) -> str:
    """Return one line of a table."""
    return f"| {' | '.join(str(cell) for cell in cells)} |"


def markdown_head(columns: Sequence[str]) -> str:
    """Return the first two lines of a table."""
    return f"{markdown_row(columns)}\n|{'---|' * len(columns)}"


def markdown_table(columns: Sequence[str], rows: Iterable[Iterable[object]]) -> str:
    """Return a whole table."""
    return "\n".join([markdown_head(columns), *(markdown_row(row) for row in rows)])


def print_table(columns: Sequence[str], rows: Iterable[Iterable[object]]) -> None:
    """Print a whole table and an empty line."""
    print(markdown_table(columns, rows) + "\n")
