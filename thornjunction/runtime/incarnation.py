"""The incarnation of a fleet member, kept across restarts: each new process of a member has a higher one.

It is stored in a file of one JSON line and its CRC-32, which is replaced atomically.  A file that cannot be
read is logged, and its content is not guessed.  The wall clock in ms is used instead: it is above the earlier
incarnations, because the first process of a member took its incarnation from the same clock.
"""

from __future__ import annotations

import json
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from thornjunction.log_events import LogEvent
from thornjunction.logs import get_logger
from thornjunction.runtime.durable import replace_file

# Name of the file in the folder that ``fleet.data`` names.
FILE_NAME = "incarnation"

# Version of the file format.
FORMAT = 1

# Difference between the stored incarnation and that of the next process.
# The gap is needed because a running member raises its incarnation to refute a suspicion.
INCARNATION_STEP = 1_000

log = get_logger(__name__)


class IncarnationError(Exception):
    """A stored incarnation cannot be used; the message gives the reason."""


class NotAnIncarnationError(IncarnationError):
    """The file does not hold an incarnation."""

    def __init__(self) -> None:
        super().__init__("not an incarnation")


class ForeignIncarnationError(IncarnationError):
    """The file belongs to another fleet or member."""

    def __init__(self) -> None:
        super().__init__("of another fleet or member")


class IncarnationFormatError(IncarnationError):
    """The file has another format version."""

    def __init__(self, file_format: object) -> None:
        super().__init__(f"of format {file_format}")


@dataclass(frozen=True, slots=True)
class IncarnationOwner:
    """The fleet member to which a stored incarnation belongs."""

    fleet: str
    name: str


def next_incarnation(folder: Path, fleet: str, name: str, unix_ms: Callable[[], float]) -> int:
    """Choose this process's incarnation, store it and return it.

    If the folder cannot be written, the error is logged and the process starts nevertheless: the next process
    then uses the wall clock.
    """
    path = folder / FILE_NAME
    member = IncarnationOwner(fleet, name)
    now_ms = int(unix_ms())
    try:
        incarnation = max(_read(path, member) + INCARNATION_STEP, now_ms)
    except IncarnationError as error:
        log.warning(LogEvent.INCARNATION_UNKNOWN, file=path.name, cause=str(error), incarnation=now_ms)
        incarnation = now_ms
    try:
        _write(path, {"format": FORMAT, "fleet": fleet, "name": name, "incarnation": incarnation})
    except OSError as error:
        log.error(LogEvent.INCARNATION_WRITE_FAILED, file=path.name, cause=error.strerror)  # noqa: TRY400
    return incarnation


def _read(path: Path, member: IncarnationOwner) -> int:
    try:
        line, _, checksum = path.read_bytes().partition(b"\n")
    except FileNotFoundError:
        raise IncarnationError("missing") from None
    except OSError as error:
        raise IncarnationError(error.strerror or "unreadable") from error
    if checksum != _checksum(line):
        raise IncarnationError("torn")
    try:
        stored = json.loads(line)
        file_format = stored["format"]
        owner = IncarnationOwner(stored["fleet"], stored["name"])
        incarnation = int(stored["incarnation"])
    except (ValueError, KeyError, TypeError):
        raise NotAnIncarnationError from None
    if file_format != FORMAT:
        raise IncarnationFormatError(file_format)
    if owner != member:
        raise ForeignIncarnationError
    return incarnation


def _write(path: Path, stored: dict[str, object]) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    line = json.dumps(stored).encode()
    replace_file(path, line + b"\n" + _checksum(line))


def _checksum(line: bytes) -> bytes:
    return b"%08x\n" % zlib.crc32(line)
