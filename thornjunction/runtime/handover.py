"""Processes that share the clients' listening socket: which of them took over last."""

from __future__ import annotations

import os
import secrets
from contextlib import suppress
from pathlib import Path

from thornjunction.logs import get_logger

MARK_SIZE = 16  # hex digits; what is shorter is no mark

log = get_logger(__name__)


class Handover:
    """A mark in the folder that both processes see; the last to get ready has written it."""

    def __init__(self, folder: str, name: str) -> None:
        self.path = Path(folder) / f"thornjunction-{name}.serving" if folder else None
        self.mark = secrets.token_hex(MARK_SIZE // 2)  # process numbers may be the same in two name spaces

    def announce(self) -> None:
        """This process serves now."""
        if self.path is None:
            return
        # No fsync: a mark speaks of processes that run, and none of them outlives the machine.
        part = self.path.with_suffix(f".{self.mark}")
        try:
            part.write_text(self.mark, encoding="ascii")
            os.replace(part, self.path)
        except OSError as error:
            log.error("no mark for the process that comes next", reason=error.strerror)
            # Guards the last connections: the mark of the process before is no successor's.
            self.mark = self._read()
            with suppress(OSError):
                part.unlink(missing_ok=True)

    def succeeded(self) -> bool:
        """Whether another process serves by now, so that new connections may be left to it."""
        found = self._read()
        return len(found) == MARK_SIZE and found != self.mark

    def _read(self) -> str:
        """Empty where there is none."""
        if self.path is None:
            return ""
        try:
            return self.path.read_text(encoding="ascii")
        except (OSError, ValueError):
            return ""
