"""Replacement of files that outlive the process: errors and a kill at each step, and short writes."""

from __future__ import annotations

import errno
import itertools
import os
from pathlib import Path
from typing import Any
from unittest.mock import patch

import pytest

from tests.runtime.test_fleet import choose_incarnation
from thornjunction.runtime.durable import replace_file
from thornjunction.runtime.incarnation import INCARNATION_STEP

OLD_CONTENT = b"old" * 1000
NEW_CONTENT = b"new" * 1000

# Number of bytes that a short write writes.
SHORT_WRITE_BYTES = 10

# The steps of a replacement: the name of a function of ``os``, and the index of the call of that function.
STEPS = [("open", 0), ("write", 0), ("write", 1), ("fsync", 0), ("replace", 0), ("open", 1), ("fsync", 1)]

# The steps after the rename.
STEPS_AFTER_RENAME = STEPS[5:]


class ProcessKilledError(BaseException):
    """Simulates a kill of the process at this step."""


FAULTS = {
    "full": OSError(errno.ENOSPC, "full"),
    "broken": OSError(errno.EIO, "broken"),
    "killed": ProcessKilledError(),
}


def fail_at(name: str, use: int, fault: BaseException) -> Any:
    """Patch a function of ``os`` so that it fails from its call ``use`` on; each earlier write is short."""
    real_function = getattr(os, name)
    uses = itertools.count()

    def call(*arguments: Any, **options: Any) -> Any:
        if next(uses) >= use:
            raise fault
        if name == "write":
            descriptor, data = arguments
            return real_function(descriptor, data[:SHORT_WRITE_BYTES])
        return real_function(*arguments, **options)

    return patch.object(os, name, call)


@pytest.mark.parametrize("fault", FAULTS.values(), ids=FAULTS.keys())
@pytest.mark.parametrize(("name", "use"), STEPS)
def test_a_reader_finds_the_old_content_or_the_new(
    name: str, use: int, fault: BaseException, tmp_path: Path
) -> None:
    path = tmp_path / "file"
    replace_file(path, OLD_CONTENT)
    with fail_at(name, use, fault), pytest.raises(type(fault)):
        replace_file(path, NEW_CONTENT)
    assert path.read_bytes() == (NEW_CONTENT if (name, use) in STEPS_AFTER_RENAME else OLD_CONTENT)
    if isinstance(fault, OSError):
        assert [found.name for found in tmp_path.iterdir()] == ["file"]
    replace_file(path, NEW_CONTENT, mode=0o600)
    assert (path.read_bytes(), path.stat().st_mode & 0o777) == (NEW_CONTENT, 0o600)


def test_short_writes_are_continued_and_the_steps_have_a_durable_order(tmp_path: Path) -> None:
    steps = list[str]()
    real_write = os.write
    with (
        patch.object(os, "write", lambda file, data: real_write(file, data[:7])),
        patch.object(
            os,
            "fsync",
            lambda file: steps.append("folder" if os.path.isdir(f"/proc/self/fd/{file}") else "file"),
        ),
        patch.object(os, "replace", lambda old, new: (steps.append("rename"), os.rename(old, new))),
    ):
        replace_file(tmp_path / "file", OLD_CONTENT)
    assert (tmp_path / "file").read_bytes() == OLD_CONTENT
    assert steps == ["file", "rename", "folder"]


@pytest.mark.parametrize("fault", FAULTS.values(), ids=FAULTS.keys())
@pytest.mark.parametrize(("name", "use"), STEPS)
def test_incarnations_increase_above_the_last_stored_one(
    name: str, use: int, fault: BaseException, tmp_path: Path
) -> None:
    """A process that cannot store its incarnation still starts, and the next one is above the stored one."""
    choose_incarnation(tmp_path, 5e6)
    try:
        with fail_at(name, use, fault):
            choose_incarnation(tmp_path, 4e6)
    except ProcessKilledError:
        pass
    last_stored = 5_000_000 + INCARNATION_STEP * ((name, use) in STEPS_AFTER_RENAME)
    assert choose_incarnation(tmp_path, 4e6) == last_stored + INCARNATION_STEP
