"""Processes that share the clients' listening socket: which of them took over last."""

from __future__ import annotations

import os
import secrets
from contextlib import suppress
from pathlib import Path

from thornjunction.log_events import LogEvent
from thornjunction.logs import get_logger

# Hexadecimal digits of a token; a file with fewer was not written whole.
TOKEN_CHARACTERS = 16

log = get_logger(__name__)


class Handover:
    """A token in a folder that both processes see: the process that became ready last has written it.

    Process ids cannot tell them apart: they may be the same in two name spaces.
    """

    def __init__(self, folder: str, name: str) -> None:
        self.path = Path(folder) / f"thornjunction-{name}.serving" if folder else None
        self.token = secrets.token_hex(TOKEN_CHARACTERS // 2)

    def announce(self) -> None:
        """Declare that this process serves from now on."""
        if self.path is None:
            return
        # No fsync: a token speaks of processes that run, and none of them outlives the machine.
        temporary = self.path.with_suffix(f".{self.token}")
        try:
            temporary.write_text(self.token, encoding="ascii")
            os.replace(temporary, self.path)
        except OSError as error:
            log.error(LogEvent.HANDOVER_TOKEN_FAILED, cause=error.strerror)  # noqa: TRY400
            # The token of the earlier process must not count as a successor's.
            self.token = self._read()
            with suppress(OSError):
                temporary.unlink(missing_ok=True)

    def has_successor(self) -> bool:
        """Whether another process serves by now, so that new connections may be left to it."""
        token = self._read()
        return len(token) == TOKEN_CHARACTERS and token != self.token

    def _read(self) -> str:
        """Return the token in the folder; empty: there is none."""
        if self.path is None:
            return ""
        try:
            return self.path.read_text(encoding="ascii")
        except (OSError, ValueError):
            return ""
