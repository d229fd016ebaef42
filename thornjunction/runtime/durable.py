"""Files that outlive the process, replaced whole: after a full disk, an I/O error or a kill at any moment a
reader finds the old content or the new, never a part."""

from __future__ import annotations

import errno
import os
from pathlib import Path


def replace_file(path: Path, data: bytes, mode: int = 0o644) -> None:
    """Write beside ``path``, fsync, rename, fsync the folder.  OSError: the old content stands, unless only
    the last step failed; what was written beside it is removed."""
    part = path.with_name(path.name + ".part")
    try:
        _write(part, data, mode)
        os.replace(part, path)
    except OSError:
        part.unlink(missing_ok=True)
        raise
    _sync_folder(path.parent)


def _write(path: Path, data: bytes, mode: int) -> None:
    file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, mode)
    try:
        os.fchmod(file, mode)  # also of one that a killed process left
        left = memoryview(data)
        while left:
            written = os.write(file, left)
            if not written:
                raise OSError(errno.EIO, "nothing written")
            left = left[written:]
        os.fsync(file)
    finally:
        os.close(file)


def _sync_folder(path: Path) -> None:
    """Without it the rename itself may be lost."""
    folder = os.open(path, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
