"""Files that outlive the process: errors and a kill at each step of their replacement, and short writes."""

from __future__ import annotations

import errno
import os
from pathlib import Path
from typing import Any
from unittest.mock import patch

import pytest

from tests.runtime.test_fleet import life
from thornjunction.runtime.durable import replace_file
from thornjunction.runtime.incarnation import INCARNATION_STEP

OLD = b"old" * 1000
NEW = b"new" * 1000
STEPS = [("open", 0), ("write", 0), ("write", 1), ("fsync", 0), ("replace", 0), ("open", 1), ("fsync", 1)]
LAST = STEPS[5:]  # behind the rename


class Killed(BaseException):
    """The process ends here."""


FAULTS = [OSError(errno.ENOSPC, "full"), OSError(errno.EIO, "broken"), Killed()]


def failing(name: str, at: int, fault: BaseException) -> Any:
    """The call of ``os`` in its so-manieth use; each write before it is short."""
    real = getattr(os, name)
    used = [0]

    def call(*args: Any, **more: Any) -> Any:
        used[0] += 1
        if used[0] > at:
            raise fault
        return real(args[0], args[1][:10]) if name == "write" else real(*args, **more)

    return patch.object(os, name, call)


@pytest.mark.parametrize("fault", FAULTS, ids=["full", "broken", "killed"])
@pytest.mark.parametrize(("name", "at"), STEPS)
def test_a_reader_finds_the_old_content_or_the_new(
    name: str, at: int, fault: BaseException, tmp_path: Path
) -> None:
    path = tmp_path / "file"
    replace_file(path, OLD)
    with failing(name, at, fault), pytest.raises(type(fault)):
        replace_file(path, NEW)
    assert path.read_bytes() == (NEW if (name, at) in LAST else OLD)
    if isinstance(fault, OSError):
        assert [found.name for found in tmp_path.iterdir()] == ["file"]
    replace_file(path, NEW, mode=0o600)
    assert (path.read_bytes(), path.stat().st_mode & 0o777) == (NEW, 0o600)


def test_short_writes_are_gone_on_with_and_the_order_is_durable(tmp_path: Path) -> None:
    done = list[str]()
    real = os.write
    with (
        patch.object(os, "write", lambda file, data: real(file, data[:7])),
        patch.object(
            os,
            "fsync",
            lambda file: done.append("folder" if os.path.isdir(f"/proc/self/fd/{file}") else "file"),
        ),
        patch.object(os, "replace", lambda old, new: (done.append("rename"), os.rename(old, new))),
    ):
        replace_file(tmp_path / "file", OLD)
    assert (tmp_path / "file").read_bytes() == OLD
    assert done == ["file", "rename", "folder"]


@pytest.mark.parametrize("fault", FAULTS, ids=["full", "broken", "killed"])
@pytest.mark.parametrize(("name", "at"), STEPS)
def test_lives_go_on_above_what_was_kept(name: str, at: int, fault: BaseException, tmp_path: Path) -> None:
    """What one life could not write costs no start and leaves the next one above all that was kept."""
    life(tmp_path, 5e6)
    try:
        with failing(name, at, fault):
            life(tmp_path, 4e6)
    except Killed:
        pass
    kept = 5_000_000 + INCARNATION_STEP * ((name, at) in LAST)
    assert life(tmp_path, 4e6) == kept + INCARNATION_STEP
