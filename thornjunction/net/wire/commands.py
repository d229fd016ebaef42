"""The command channel's events: changes to the list of shelfs, and purges.

Keys and events that are not known here are passed over, for the protocol may grow.  Of an event that is known
but can't be read whole, all is taken that can be, on the side that breaks no rule, and the fault is told: a
shelf with an unreadable line is taken as leaving, a purge with an unreadable time as one of now.  So one bad
event holds up none after it, and no drain is passed over where it can be known whom it means."""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from thornjunction import interface as api
from thornjunction.net.wire import ProtocolError

STATES = {
    "active": api.ServerState.SERVING,
    "leaving": api.ServerState.DRAINING,
    "left": api.ServerState.REMOVED,
}
HEALTH = {state: word for word, state in STATES.items()}
LARGEST = 1 << 53  # of a number: past it JSON's readers differ
TOLD_FAULTS, MOST_FAULTS = 8, 1000  # of one answer: for the log; past these it is none, for each takes time
EPOCH = frozenset("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-")
MOST_EPOCH = 32  # characters
UNREADABLE = KeyError, TypeError, ValueError, AttributeError, OverflowError


@dataclass(frozen=True, slots=True)
class Host:
    """One line of the list; its times are Unix milliseconds."""

    name: str
    address: tuple[str, int] | None
    site: str
    kind: str
    cell: int
    state: api.ServerState
    weight: float
    born_ms: float


@dataclass(frozen=True, slots=True)
class ListChange:
    cursor: int
    whole: bool
    hosts: tuple[Host, ...]
    seq: int | None = None  # discovery's version of the list, where it tells one


@dataclass(frozen=True, slots=True)
class Purge:
    cursor: int
    key: int | None
    group: int
    when_ms: float  # Unix milliseconds; infinite: now


Command = ListChange | Purge


@dataclass(frozen=True, slots=True)
class Commands:
    cursor: int
    events: tuple[Command, ...]  # by their numbers
    faults: tuple[str, ...] = field(default=())  # what could not be read: codes, for the log
    epoch: str | None = None  # whose numbers these are; none: discovery's own
    age_ms: float | None = None  # how long ago discovery itself confirmed that this stood so


class TooManyFaultsError(Exception):
    """So that the readers of single fields, which pass over errors of values, let it through."""


class Faults:
    """What could not be read in one answer."""

    def __init__(self) -> None:
        self.codes: list[str] = []

    def add(self, code: str) -> None:
        self.codes.append(code)
        if len(self.codes) > MOST_FAULTS:
            raise TooManyFaultsError


def parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or len(port) > 5 or not 0 < int(port) < 65536:
        raise ValueError(f"bad address {text[:80]!r}")
    return host, int(port)


def decode_commands(data: bytes) -> Commands:
    try:
        told = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise ProtocolError("commands-form") from error
    return read_commands(told)


def read_commands(told: Any) -> Commands:
    """Commands from parsed JSON, as the channel and the configuration hold them."""
    head = read_head(told)
    listed = told.get("cmds")
    if not isinstance(listed, list):
        raise ProtocolError("commands-form")
    events, faults = _read_events([(_placed(event), event) for event in listed], head.cursor)
    return replace(head, events=tuple(sorted(events, key=lambda command: command.cursor)), faults=faults)


def read_head(told: Any) -> Commands:
    """What an answer says beside its events; ProtocolError where it doesn't say its cursor."""
    try:
        cursor, epoch = int(_number(told["cursor"])), told.get("epoch")
    except UNREADABLE as error:
        raise ProtocolError("commands-form") from error
    named = isinstance(epoch, str) and 0 < len(epoch) <= MOST_EPOCH and EPOCH.issuperset(epoch)
    return Commands(cursor, (), epoch=epoch if named else None, age_ms=_optional(told, "age"))


def read_piece(listed: list[Any], known: int) -> Commands:
    """Whole events of an answer that comes in pieces, from parsed JSON, as one answer of their own: those
    behind ``known``, the drains in them before the purges.  What can't be placed counts as its last one."""
    placed = [(_placed(event), event) for event in listed]
    last = max((number for number, _ in placed if number is not None), default=known)
    new = [(number, event) for number, event in placed if number is None or number > known]
    events, faults = _read_events(new, max(last, known))
    events.sort(key=lambda command: (isinstance(command, Purge), command.cursor))
    return Commands(max((command.cursor for command in events), default=known), tuple(events), faults)


def _read_events(placed: list[tuple[int | None, Any]], last: int) -> tuple[list[Command], tuple[str, ...]]:
    """What can be read of them, and the first codes of what can't.  An event that can't be placed counts as
    the last one, so that it is taken."""
    faults, events = Faults(), list[Command]()
    try:
        for number, event in placed:
            if number is None:
                faults.add("event-cursor")
            command = _command(event, last if number is None else number, faults)
            if command is not None:
                events.append(command)
    except TooManyFaultsError as error:
        raise ProtocolError("commands-faults") from error
    return events, tuple(faults.codes[:TOLD_FAULTS])


def _placed(event: Any) -> int | None:
    """An event's number; None where it can't be read."""
    try:
        return int(_number(event["cursor"]))
    except UNREADABLE:
        return None


def _optional(told: Mapping[str, Any], key: str) -> float | None:
    """A number that need not be there; what is none is passed over, for the plain protocol has none."""
    try:
        return float(_number(told[key]))
    except UNREADABLE:
        return None


def _signed(value: Any) -> float:
    """A number of a size that JSON's readers agree on; ValueError otherwise."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not -LARGEST <= value <= LARGEST:
        raise ValueError("not a number in range")
    return value


def _number(value: Any) -> float:
    """The same, and not negative."""
    number = _signed(value)
    if number < 0:
        raise ValueError("negative")
    return number


def _command(event: Any, cursor: int, faults: Faults) -> Command | None:
    """One that is known here; None for one that isn't, or can't be read."""
    try:
        if "nodes" in event:
            return _change(cursor, event["nodes"], faults)
        return _purge(cursor, event["drop"], faults) if "drop" in event else None
    except UNREADABLE:
        faults.add("event-form")
        return None


def _change(cursor: int, nodes: Mapping[str, Any], faults: Faults) -> ListChange:
    listed = nodes["hosts"]
    if not isinstance(listed, list):
        raise ValueError("not a list")
    hosts = [host for line in listed if (host := _host(line, faults)) is not None]
    if listed and not hosts:
        # Guards what is known against a whole list of nothing but unreadable lines, which would end all.
        raise ValueError("no line can be read")
    seq = _optional(nodes, "seq")
    whole = bool(nodes.get("whole", False))
    return ListChange(cursor, whole, tuple(hosts), None if seq is None else int(seq))


def _host(line: Any, faults: Faults) -> Host | None:
    """A line that doesn't name its shelf is passed over; one with another fault says that the shelf leaves,
    unless it is only the weight, which no rule hangs on."""

    def read(key: str, kind: Callable[[Any], Any], default: Any) -> Any:
        try:
            return kind(line[key]) if key in line else default
        except UNREADABLE:
            faults.add(f"host-{key}")
            return default

    if not isinstance(line, Mapping) or not isinstance(line.get("host"), str):
        faults.add("host-name")
        return None
    weight, found = read("share", _number, 1.0), len(faults.codes)
    state = read("health", STATES.__getitem__, api.ServerState.DRAINING)
    address = read("dial", lambda text: parse_address(text) if text else None, None)
    born_ms, cell = read("born_ms", _signed, 0.0), read("block", _signed, 0)
    if "health" not in line:
        faults.add("host-health")
    if state is api.ServerState.SERVING and len(faults.codes) > found:
        state = api.ServerState.DRAINING
    place = str(line.get("site", "")), str(line.get("class", ""))
    return Host(line["host"], address, *place, int(cell), state, float(weight), float(born_ms))


def line_of(host: Host) -> dict[str, Any]:
    """A line of the list as the channel tells it: what ``_host`` reads as this host."""
    return {
        "host": host.name,
        "dial": f"{host.address[0]}:{host.address[1]}" if host.address is not None else "",
        "site": host.site,
        "class": host.kind,
        "block": host.cell,
        "health": HEALTH[host.state],
        "share": host.weight,
        "born_ms": host.born_ms,
    }


def _purge(cursor: int, drop: Mapping[str, Any], faults: Faults) -> Purge:
    key, group = None, 0
    if "id" in drop:
        key = int(drop["id"], 16)
        if not 0 <= key < 1 << 64:
            raise ValueError("not an object")
    else:
        group = int(_number(drop["family"]))
    try:
        when_ms = float(_number(drop["when"]))
    except UNREADABLE:
        faults.add("drop-when")
        when_ms = math.inf
    return Purge(cursor, key, group, when_ms)
