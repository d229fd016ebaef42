"""What a run found: a Markdown table for each question, with its verdicts and findings."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path


@dataclass(slots=True)
class Table:
    """One question's answer.  ``notes`` are said below it."""

    question: str
    head: tuple[str, ...]
    rows: list[tuple[str, ...]] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)

    def add(self, *cells: object) -> None:
        """Numbers are written with three digits that count."""
        row = tuple(shown(cell) for cell in cells)
        if len(row) != len(self.head):
            raise ValueError(f"{self.question}: {len(row)} cells under {len(self.head)} heads")
        self.rows.append(row)


def shown(cell: object) -> str:
    if isinstance(cell, bool) or not isinstance(cell, float):
        return str(cell)
    if not math.isfinite(cell):
        return "none"
    if cell == 0 or abs(cell) >= 100:
        return f"{cell:.0f}"
    return f"{cell:.{max(2 - math.floor(math.log10(abs(cell))), 0)}f}" if abs(cell) >= 1e-6 else f"{cell:.1e}"


@dataclass(slots=True)
class Report:
    """All of one run.  ``command`` is what makes it again."""

    command: str
    tables: list[Table] = field(default_factory=list)
    verdicts: list[tuple[str, bool]] = field(default_factory=list)
    findings: list[str] = field(default_factory=list)

    def table(self, question: str, *head: str) -> Table:
        made = Table(question, head)
        self.tables.append(made)
        return made

    def verdict(self, what: str, holds: bool) -> None:
        """On counts and orders, never on milliseconds."""
        self.verdicts.append((what, holds))

    @property
    def failed(self) -> list[str]:
        return [what for what, holds in self.verdicts if not holds]

    def markdown(self) -> str:
        parts = [f"Made by `{self.command}`.\n"]
        for table in self.tables:
            parts.append(f"## {table.question}\n\n{_grid(table.head, table.rows)}")
            parts += [f"{note}\n" for note in table.notes]
        if self.verdicts:
            rows = [(what, "holds" if holds else "**fails**") for what, holds in self.verdicts]
            parts.append("## Verdicts\n\n" + _grid(("on counts and orders", ""), rows))
        if self.findings:
            parts.append("## Findings\n\n" + "\n".join(f"- {text}" for text in self.findings) + "\n")
        return "\n".join(parts)

    def write(self, path: Path) -> None:
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(self.markdown(), encoding="utf-8")


def _grid(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)
