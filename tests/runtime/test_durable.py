"""Files that outlive the process: errors and a kill at each step of their replacement, and short writes."""

from __future__ import annotations

import errno
import itertools
import os
from pathlib import Path
from typing import Any
from unittest.mock import patch

import pytest

from tests.runtime.test_fleet import start_incarnation
from thornjunction.runtime.durable import replace_file
from thornjunction.runtime.incarnation import INCARNATION_STEP

OLD_CONTENT = b"old" * 1000
NEW_CONTENT = b"new" * 1000

# Bytes that a short write takes.
SHORT_WRITE_BYTES = 10

# The steps of a replacement: a call of ``os``, and which of its uses.
STEPS = [("open", 0), ("write", 0), ("write", 1), ("fsync", 0), ("replace", 0), ("open", 1), ("fsync", 1)]

# The steps after the rename.
STEPS_AFTER_RENAME = STEPS[5:]


class ProcessKilledError(BaseException):
    """The process ends at this step."""


FAULTS = {
    "full": OSError(errno.ENOSPC, "full"),
    "broken": OSError(errno.EIO, "broken"),
    "killed": ProcessKilledError(),
}


def fail_at(name: str, use: int, fault: BaseException) -> Any:
    """Patch a call of ``os`` so that it fails from that use on; each write before is short."""
    real_call = getattr(os, name)
    uses = itertools.count()

    def call(*arguments: Any, **options: Any) -> Any:
        if next(uses) >= use:
            raise fault
        if name == "write":
            descriptor, data = arguments
            return real_call(descriptor, data[:SHORT_WRITE_BYTES])
        return real_call(*arguments, **options)

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
        replace_file(tmp_path / "file", OLD_CONTENT)
    assert (tmp_path / "file").read_bytes() == OLD_CONTENT
    assert done == ["file", "rename", "folder"]


@pytest.mark.parametrize("fault", FAULTS.values(), ids=FAULTS.keys())
@pytest.mark.parametrize(("name", "use"), STEPS)
def test_incarnations_rise_above_the_last_one_written(
    name: str, use: int, fault: BaseException, tmp_path: Path
) -> None:
    """What one process could not write costs no start, and leaves the next one above all that was kept."""
    start_incarnation(tmp_path, 5e6)
    try:
        with fail_at(name, use, fault):
            start_incarnation(tmp_path, 4e6)
    except ProcessKilledError:
        pass
    last_kept = 5_000_000 + INCARNATION_STEP * ((name, use) in STEPS_AFTER_RENAME)
    assert start_incarnation(tmp_path, 4e6) == last_kept + INCARNATION_STEP
