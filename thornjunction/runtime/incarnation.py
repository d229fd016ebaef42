"""The incarnation of a member of the fleet, kept across restarts: each life under a name has a higher one.

A small file of one JSON line and its CRC-32, replaced whole (``durable.py``).  What can't be read is named in
the log and never guessed at: the wall clock in ms then gives a number above those before it, for a first life
takes its own from the same clock."""

from __future__ import annotations

import json
import zlib
from collections.abc import Callable
from pathlib import Path

from thornjunction.logs import get_logger
from thornjunction.runtime.durable import replace_file

FORMAT = 1
STRIDE = 1_000  # past the last one: a member raises its own while it lives to answer a suspicion

log = get_logger(__name__)


class IncarnationError(Exception):
    """Why a file can't be used."""


def next_incarnation(folder: Path, fleet: str, name: str, unix_ms: Callable[[], float]) -> int:
    """This life's incarnation, on disk before it is used.  A folder that can't be written is named in the log
    and costs no start: the wall clock stands in at the next one."""
    path = folder / "incarnation"
    now = int(unix_ms())
    try:
        fresh = max(_read(path, fleet, name) + STRIDE, now)
    except IncarnationError as error:
        log.warning("incarnation-unknown", file=path.name, reason=str(error), taken=now)
        fresh = now
    try:
        _write(path, {"format": FORMAT, "fleet": fleet, "name": name, "incarnation": fresh})
    except OSError as error:
        log.error("incarnation-not-kept", file=path.name, reason=error.strerror)
    return fresh


def _read(path: Path, fleet: str, name: str) -> int:
    try:
        line, _, check = path.read_bytes().partition(b"\n")
    except FileNotFoundError:
        raise IncarnationError("missing") from None
    except OSError as error:
        raise IncarnationError(error.strerror or "unreadable") from error
    if check != b"%08x\n" % zlib.crc32(line):
        raise IncarnationError("torn")
    try:
        told = json.loads(line)
        kind, owner, last = told["format"], (told["fleet"], told["name"]), int(told["incarnation"])
    except (ValueError, KeyError, TypeError):
        raise IncarnationError("not an incarnation") from None
    if kind != FORMAT:
        raise IncarnationError(f"of format {kind}")
    if owner != (fleet, name):
        raise IncarnationError("of another fleet or member")
    return last


def _write(path: Path, told: dict[str, object]) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    line = json.dumps(told).encode()
    replace_file(path, b"%b\n%08x\n" % (line, zlib.crc32(line)))
