"""Atomic replacement of files that outlive the process.

After a full disk, an I/O error or a kill at any moment a reader finds the old content or the new one, never
a part.
"""

from __future__ import annotations

import errno
import os
from pathlib import Path

# Permissions of a file: its owner writes it, and everybody may read it.
DEFAULT_MODE = 0o644


def replace_file(path: Path, data: bytes, mode: int = DEFAULT_MODE) -> None:
    """Write a temporary file beside ``path``, fsync it, rename it, and fsync the folder.

    Raises OSError: the old content stands, unless only the last step failed.  The temporary file is removed.
    """
    temporary = path.with_name(path.name + ".part")
    try:
        _write(temporary, data, mode)
        os.replace(temporary, path)
    except OSError:
        temporary.unlink(missing_ok=True)
        raise
    _sync_folder(path.parent)


def _write(path: Path, data: bytes, mode: int) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, mode)
    try:
        os.fchmod(descriptor, mode)  # also of a file that a killed process left
        _write_all(descriptor, data)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _write_all(descriptor: int, data: bytes) -> None:
    remaining = memoryview(data)
    while remaining:
        written = os.write(descriptor, remaining)
        if not written:
            raise OSError(errno.EIO, "nothing written")
        remaining = remaining[written:]


def _sync_folder(path: Path) -> None:
    """Make the rename durable: without this it may be lost."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
