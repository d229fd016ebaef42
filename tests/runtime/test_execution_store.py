"""The possible executions that two processes share: both writing, locks, crashes and faulty files."""

from __future__ import annotations

import signal
import sqlite3
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import closing, contextmanager, suppress
from pathlib import Path

import pytest

from thornjunction import interface as api
from thornjunction.limits.idempotency import KEY_LIFETIME_MS
from thornjunction.runtime.execution_store import (
    INSERT,
    MAX_EXPIRED_ROWS,
    MAX_FILE_PAGES,
    PAGE_BYTES,
    SharedExecutions,
)

FIRST = api.PossibleExecution(1.0, "edge-1", 3)
SECOND = api.PossibleExecution(2.0, "edge-2", 4)

# Longest time that a process may wait for another one that holds the lock, in seconds.
MAX_WAIT_S = 0.1

# A process that writes a row in a transaction, and never ends it.
UNFINISHED_WRITER = """
import sqlite3, sys, time
connection = sqlite3.connect(sys.argv[1], isolation_level=None)
connection.execute("PRAGMA journal_mode = TRUNCATE")
connection.execute("PRAGMA cache_spill = 1")
connection.execute("BEGIN EXCLUSIVE")
connection.execute("INSERT INTO executions (key, owner, sent_at_ms, zone, cell) VALUES ('k', 'o', 1, 'z', 1)")
print("written", flush=True)
time.sleep(60)
"""


class Clock:
    """A clock that the test sets."""

    now_ms = 0.0

    def __call__(self) -> float:
        return self.now_ms


@pytest.fixture
def clock() -> Clock:
    """The clock of both processes."""
    return Clock()


@pytest.fixture
def stores(tmp_path: Path, clock: Clock) -> Iterator[tuple[SharedExecutions, SharedExecutions]]:
    """The stores of an old and a new process."""
    old, new = (SharedExecutions(str(tmp_path), "n1", clock) for _ in range(2))
    old.open()
    yield old, new
    old.close()
    new.close()


@contextmanager
def unfinished_writer(path: Path) -> Iterator[subprocess.Popen[bytes]]:
    """Run a process that holds the lock."""
    command = [sys.executable, "-c", UNFINISHED_WRITER, str(path)]
    with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
        assert process.stdout is not None
        assert process.stdout.readline() == b"written\n"
        yield process
        process.kill()


def test_a_process_finds_what_others_have_recorded(
    stores: tuple[SharedExecutions, SharedExecutions],
) -> None:
    old, new = stores
    assert old.claim("k", FIRST, ()) is not None
    assert old.find("k") == ()
    assert new.find("k") == (FIRST,)
    assert new.find("other") == ()
    assert new.claim("k", SECOND, (FIRST,)) is not None
    assert old.find("k") == (SECOND,)


def test_a_process_records_nothing_while_it_does_not_know_the_others_attempts(
    stores: tuple[SharedExecutions, SharedExecutions],
) -> None:
    old, new = stores
    assert old.claim("k", FIRST, ()) is not None
    assert new.claim("k", SECOND, ()) is None
    assert old.find("k") == ()
    assert new.claim("k", SECOND, (FIRST,)) is not None
    assert old.claim("k", FIRST, ()) is None


def test_a_process_removes_only_its_own_records(stores: tuple[SharedExecutions, SharedExecutions]) -> None:
    old, new = stores
    number = old.claim("k", FIRST, ())
    assert number is not None
    new.withdraw(number)
    assert new.find("k") == (FIRST,)
    old.withdraw(number)
    assert new.find("k") == ()


def test_records_stay_when_their_process_has_gone(
    stores: tuple[SharedExecutions, SharedExecutions], tmp_path: Path, clock: Clock
) -> None:
    old, _ = stores
    old.claim("k", FIRST, ())
    old.close()
    third = SharedExecutions(str(tmp_path), "n1", clock)
    assert third.find("k") == (FIRST,)
    third.close()


def test_records_expire_a_bounded_number_at_a_time(
    stores: tuple[SharedExecutions, SharedExecutions], clock: Clock
) -> None:
    old, new = stores
    count = MAX_EXPIRED_ROWS + 10
    for number in range(count):
        old.claim(str(number), FIRST, ())
    clock.now_ms = FIRST.sent_at_ms + KEY_LIFETIME_MS + 1.0
    late = api.PossibleExecution(clock.now_ms, "edge-1", 3)
    old.claim("late", late, ())
    assert sum(bool(new.find(str(number))) for number in range(count)) == 10
    old.claim("later", late, ())
    assert not any(new.find(str(number)) for number in range(count))
    assert new.find("late") == (late,)


def test_a_process_does_not_wait_for_one_that_holds_the_lock_and_sends_nothing_meanwhile(
    stores: tuple[SharedExecutions, SharedExecutions], caplog: pytest.LogCaptureFixture
) -> None:
    """The process that holds it may be paused; if it is killed, its transaction is undone."""
    old, new = stores
    old.claim("k", FIRST, ())
    with unfinished_writer(new.path) as writer:
        writer.send_signal(signal.SIGSTOP)
        started_s = time.monotonic()
        assert new.claim("k", SECOND, (FIRST,)) is None
        assert new.find("k") is None
        assert time.monotonic() - started_s < MAX_WAIT_S
    assert "locked" in caplog.text
    assert new.find("k") == (FIRST,)
    assert new.claim("k", SECOND, (FIRST,)) is not None


def test_a_full_file_lets_nothing_be_sent_and_is_used_again_once_rows_have_expired(
    stores: tuple[SharedExecutions, SharedExecutions], clock: Clock
) -> None:
    old, _ = stores
    with closing(sqlite3.connect(old.path, isolation_level=None)) as connection:
        connection.execute(f"PRAGMA max_page_count = {MAX_FILE_PAGES}")
        connection.execute("PRAGMA synchronous = OFF")
        with suppress(sqlite3.OperationalError):
            while True:
                connection.execute(INSERT, ("x" * 2000, "o", 1.0, "edge-1", 3))
    assert old.path.stat().st_size <= MAX_FILE_PAGES * PAGE_BYTES
    assert old.claim("k" * 2000, FIRST, ()) is None
    clock.now_ms = FIRST.sent_at_ms + KEY_LIFETIME_MS + 1.0
    assert old.claim("k" * 2000, FIRST, ()) is not None


@pytest.mark.parametrize("content", [b"no database" * 1000, b"SQLite format 3\0"])
def test_a_damaged_file_lets_nothing_be_sent(
    content: bytes, tmp_path: Path, clock: Clock, caplog: pytest.LogCaptureFixture
) -> None:
    store = SharedExecutions(str(tmp_path), "n1", clock)
    store.path.write_bytes(content)
    assert store.claim("k", FIRST, ()) is None
    assert store.find("k") is None
    store.withdraw(1)
    assert "execution_store_failed" in caplog.text
    store.path.unlink()
    assert store.claim("k", FIRST, ()) is not None
    store.close()


def test_without_a_folder_nothing_is_sent_until_there_is_one(tmp_path: Path, clock: Clock) -> None:
    store = SharedExecutions(str(tmp_path / "none"), "n1", clock)
    store.open()
    assert store.claim("k", FIRST, ()) is None
    store.path.parent.mkdir()
    assert store.claim("k", FIRST, ()) is not None
    store.close()
