"""Atomic replacement of files that outlive the process.

If the disk is full, an I/O error occurs or the process is killed at any step, a reader finds either the old
content or the new content, never a part of it.
"""

from __future__ import annotations

import errno
import os
from pathlib import Path

# Default permissions of a file: its owner may write it, and everybody may read it.
DEFAULT_MODE = 0o644


def replace_file(path: Path, data: bytes, mode: int = DEFAULT_MODE) -> None:
    """Write a temporary file beside ``path``, fsync it, rename it to ``path``, and fsync the folder.

    Raises OSError if a step fails.  The old content is kept, unless only the fsync of the folder failed.  The
    temporary file is removed.
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
        os.fchmod(descriptor, mode)  # open() does not set the mode of a file that a killed process left
        _write_all(descriptor, data)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _write_all(descriptor: int, data: bytes) -> None:
    remaining = memoryview(data)
    while remaining:
        written = os.write(descriptor, remaining)
        if not written:
            raise OSError(errno.EIO, "write() wrote 0 bytes")
        remaining = remaining[written:]


def _sync_folder(path: Path) -> None:
    """Make the rename durable: without this, a power failure could undo it."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
