"""The record of a run: one line for each thing that was sent, answered or run."""

from __future__ import annotations

import time
from pathlib import Path
from types import TracebackType
from typing import TextIO


class Record:
    """Writes ``record.txt``; times are seconds since the record was opened, on the monotonic clock."""

    def __init__(self, path: Path) -> None:
        self._file: TextIO = path.open("w", encoding="utf-8")
        self._opened_s = time.monotonic()

    def __enter__(self) -> Record:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._file.close()

    def now(self) -> float:
        """Return the seconds since the record was opened."""
        return time.monotonic() - self._opened_s

    def write(self, what: str, **fields: object) -> None:
        """Write one line: the time, what happened, and its fields."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():9.3f} {what} {text}".rstrip() + "\n")
        self._file.flush()
