"""Handover between processes that share the clients' listening socket: which of them took over last."""

from __future__ import annotations

import os
import secrets
from contextlib import suppress
from pathlib import Path

from thornjunction.log_events import LogEvent
from thornjunction.logs import get_logger

# Number of hexadecimal digits in a token; a file with fewer was not written completely.
TOKEN_CHARACTERS = 16

log = get_logger(__name__)


class Handover:
    """A token file in a folder that both processes can access, written by the process that became ready last.

    Process ids are not used as tokens: two processes in different PID namespaces may have the same id.
    """

    def __init__(self, folder: str, name: str) -> None:
        self.path = Path(folder) / f"thornjunction-{name}.serving" if folder else None
        self.token = secrets.token_hex(TOKEN_CHARACTERS // 2)

    def announce(self) -> None:
        """Write this process's token: it serves from now on."""
        if self.path is None:
            return
        # No fsync is needed: the token refers to running processes, and none of them outlives the machine.
        temporary = self.path.with_suffix(f".{self.token}")
        try:
            temporary.write_text(self.token, encoding="ascii")
            os.replace(temporary, self.path)
        except OSError as error:
            log.error(LogEvent.HANDOVER_TOKEN_FAILED, cause=error.strerror)  # noqa: TRY400
            # The token of an earlier process, still in the file, must not be taken for a successor's.
            self.token = self._read()
            with suppress(OSError):
                temporary.unlink(missing_ok=True)

    def has_successor(self) -> bool:
        """Return whether another process serves by now, so that it can accept the new connections."""
        token = self._read()
        return len(token) == TOKEN_CHARACTERS and token != self.token

    def _read(self) -> str:
        """Return the token in the file, or an empty text if there is none."""
        if self.path is None:
            return ""
        try:
            return self.path.read_text(encoding="ascii")
        except (OSError, ValueError):
            return ""
