"""The possible executions that the processes of one router share, in an SQLite file in their common folder.

``docs/design/shared-executions.md`` has the design.  Imported only where two processes may share a listening
socket, because SQLite uses memory.
"""

from __future__ import annotations

import secrets
import sqlite3
from collections.abc import Callable
from contextlib import closing
from pathlib import Path

from thornjunction import interface as api
from thornjunction.limits.idempotency import KEY_LIFETIME_MS, MAX_EXECUTIONS_PER_KEY
from thornjunction.log_events import LogEvent
from thornjunction.log_thinning import should_log
from thornjunction.logs import get_logger

# Version of the table below; part of the file's name, so that no build reads rows of another format.
FORMAT = 1

# Number of random bytes that identify a process in its rows.
OWNER_BYTES = 8

# How long a process waits for another one's transaction, during which its event loop stands still.
LOCK_TIMEOUT_S = 0.002

# Greatest size of the file, which counts as memory.
MAX_FILE_PAGES = 1024
PAGE_BYTES = 4096

# Memory for pages of the file.
CACHE_KB = 256

# Rows that expire with one new row, so that the work of each is bounded.
MAX_EXPIRED_ROWS = 32

# No fsync: the rows refer to requests of running processes, and none of them outlives the machine.
CONNECTION_SETTINGS = (
    f"PRAGMA page_size = {PAGE_BYTES}",
    f"PRAGMA max_page_count = {MAX_FILE_PAGES}",
    f"PRAGMA cache_size = -{CACHE_KB}",
    "PRAGMA journal_mode = TRUNCATE",
    "PRAGMA synchronous = OFF",
)

TABLE = (
    """CREATE TABLE IF NOT EXISTS executions (
        number INTEGER PRIMARY KEY,
        key TEXT NOT NULL,
        owner TEXT NOT NULL,
        sent_at_ms REAL NOT NULL,
        zone TEXT NOT NULL,
        cell INTEGER NOT NULL
    )""",
    "CREATE INDEX IF NOT EXISTS executions_by_key ON executions (key)",
)

FIND = "SELECT sent_at_ms, zone, cell FROM executions WHERE key = ? AND owner <> ? ORDER BY number LIMIT ?"
INSERT = "INSERT INTO executions (key, owner, sent_at_ms, zone, cell) VALUES (?, ?, ?, ?, ?)"
REMOVE = "DELETE FROM executions WHERE number = ? AND owner = ?"
EXPIRE = """DELETE FROM executions WHERE sent_at_ms < ? AND number IN (
    SELECT number FROM executions ORDER BY number LIMIT ?
)"""

log = get_logger(__name__)


class SharedExecutions:
    """Implements ``core.ports.ExecutionStore``.

    Args:
        folder: the folder that the processes of the router share.
        name: the router's name.
        clock: the core's clock, in ms, which is the same in all processes.
    """

    def __init__(self, folder: str, name: str, clock: Callable[[], float]) -> None:
        self.path = Path(folder) / f"thornjunction-{name}.executions-{FORMAT}.db"
        self._clock = clock
        self._owner = secrets.token_hex(OWNER_BYTES)
        self._connection: sqlite3.Connection | None = None
        self._failures = 0

    def open(self) -> None:
        """Open the file before it is needed; if that fails, each use tries again."""
        try:
            self._open()
        except sqlite3.Error as error:
            self._log_failure(error)

    def find(self, key: str) -> tuple[api.PossibleExecution, ...] | None:
        """Return other processes' possible executions under a key; None: the file can't be read now."""
        try:
            found = self._find(self._open(), key)
        except sqlite3.Error as error:
            self._log_failure(error)
            return None
        self._failures = 0
        return found

    def claim(
        self, key: str, execution: api.PossibleExecution, known: tuple[api.PossibleExecution, ...]
    ) -> int | None:
        """Record an attempt and return its number; None: others' attempts are unknown, or the file failed."""
        try:
            number = self._claim(self._open(), key, execution, known)
        except sqlite3.Error as error:
            self._log_failure(error)
            return None
        self._failures = 0
        return number

    def withdraw(self, number: int) -> None:
        """Remove the record of an attempt; if that fails, it stays a possible execution until it expires."""
        try:
            self._open().execute(REMOVE, (number, self._owner))
        except sqlite3.Error as error:
            self._log_failure(error)

    def close(self) -> None:
        """Close the file."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _open(self) -> sqlite3.Connection:
        if self._connection is None:
            # Statements are committed one by one, except within an explicit transaction.
            connection = sqlite3.connect(self.path, timeout=LOCK_TIMEOUT_S, isolation_level=None)
            try:
                for statement in CONNECTION_SETTINGS + TABLE:
                    connection.execute(statement)
            except sqlite3.Error:
                connection.close()
                raise
            self._connection = connection
        return self._connection

    def _find(self, connection: sqlite3.Connection, key: str) -> tuple[api.PossibleExecution, ...]:
        with closing(connection.execute(FIND, (key, self._owner, MAX_EXECUTIONS_PER_KEY))) as rows:
            return tuple(api.PossibleExecution(*row) for row in rows)

    def _claim(
        self,
        connection: sqlite3.Connection,
        key: str,
        execution: api.PossibleExecution,
        known: tuple[api.PossibleExecution, ...],
    ) -> int | None:
        connection.execute("BEGIN IMMEDIATE")
        try:
            if not set(self._find(connection, key)) <= set(known):
                connection.execute("ROLLBACK")
                return None
            connection.execute(EXPIRE, (self._clock() - KEY_LIFETIME_MS, MAX_EXPIRED_ROWS))
            row = (key, self._owner, execution.sent_at_ms, execution.zone, execution.cell)
            number = connection.execute(INSERT, row).lastrowid
            connection.execute("COMMIT")
        except sqlite3.Error:
            if connection.in_transaction:
                connection.execute("ROLLBACK")
            raise
        return number

    def _log_failure(self, error: sqlite3.Error) -> None:
        self._failures += 1
        if should_log(self._failures):
            log.error(LogEvent.EXECUTION_STORE_FAILED, cause=str(error), failures=self._failures)
