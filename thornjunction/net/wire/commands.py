"""Events of the command channel: changes of the endpoint list, and purges.

Unknown keys and events are ignored, because the protocol may grow.  Of a known event that is partly
malformed, all that is readable is used, on the side that breaks no rule, and the fault is reported: an
endpoint with a malformed line counts as leaving, a purge with a malformed time as one of now.  So one bad
event holds up none after it, and no drain is lost if it is known whom it concerns.
"""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any, NamedTuple, TypeVar

from thornjunction import interface as api
from thornjunction.net.wire import ProtocolError

STATES = {
    "active": api.ServerState.SERVING,
    "leaving": api.ServerState.DRAINING,
    "left": api.ServerState.REMOVED,
}
"""States by the value of ``health``."""

HEALTH_VALUES = {state: value for value, state in STATES.items()}
"""Values of ``health`` by state."""

MAX_NUMBER = 1 << 53
"""Largest absolute value of a number: beyond it, JSON readers differ."""

MAX_FAULTS = 1000
"""Faults in one response, beyond which it is rejected: each takes time."""

MAX_REPORTED_FAULTS = 8
"""Faults of one response that are reported for the log."""

EPOCH_CHARACTERS = frozenset("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-")
"""Characters of an epoch."""

MAX_EPOCH_CHARACTERS = 32
"""Length of an epoch."""

MAX_OBJECT_ID = 1 << 64
"""Object ids are below it: they have 64 bits."""

HEX = 16
"""Base of an object id's digits."""

MAX_PORT = 65_535
"""Largest TCP port."""

MAX_PORT_DIGITS = 5
"""Digits of a port."""

MAX_SHOWN_CHARACTERS = 80
"""Characters of a malformed address that its error shows."""

UNREADABLE = (KeyError, TypeError, ValueError, AttributeError, OverflowError)
"""What reading a malformed value raises."""

T = TypeVar("T")
Address = tuple[str, int]
"""Host and port."""


class AddressError(ValueError):
    """A text is no address of host and port."""

    def __init__(self, text: str) -> None:
        super().__init__(f"bad address {text[:MAX_SHOWN_CHARACTERS]!r}")


class MalformedValueError(ValueError):
    """A value is not what its key holds; it is reported as a fault, by the key."""


class TooManyFaultsError(Exception):
    """A response has over ``MAX_FAULTS``.

    No ``ValueError``, so that the readers of single values, which catch those, let it through.
    """


@dataclass(frozen=True, slots=True)
class Host:
    """One line of the endpoint list.

    Attributes:
        name: unique in the list.
        address: where it listens; None: nowhere that is known.
        site: the site that it is in.
        kind: its kind of endpoint, the wire's ``class``.
        cell: its part of the site, the wire's ``block``.
        state: whether it serves, drains or is gone.
        weight: its share of the load among endpoints of its kind.
        started_unix_ms: when its process started, in Unix milliseconds; 0: not known.
    """

    name: str
    address: Address | None
    site: str
    kind: str
    cell: int
    state: api.ServerState
    weight: float
    started_unix_ms: float


@dataclass(frozen=True, slots=True)
class ListChange:
    """A change of the endpoint list.

    Attributes:
        cursor: number of the event.
        is_complete: whether the list replaces the one known so far; otherwise its lines are updates.
        hosts: its lines.
        seq: the discovery service's version of the list; None: not reported.
    """

    cursor: int
    is_complete: bool
    hosts: tuple[Host, ...]
    seq: int | None = None


@dataclass(frozen=True, slots=True)
class Purge:
    """An order to serve no older copy of an object or a group.

    Attributes:
        cursor: number of the event.
        key: id of the object; None: the purge is of a group.
        group: the group.
        issued_unix_ms: when it was issued, in Unix milliseconds; infinite: now.
    """

    cursor: int
    key: int | None
    group: int
    issued_unix_ms: float


Command = ListChange | Purge


@dataclass(frozen=True, slots=True)
class Commands:
    """A response of the command channel.

    Attributes:
        cursor: number of the last event that exists.
        events: the events, by their numbers.
        faults: codes of what could not be read, for the log.
        epoch: whose numbers these are; None: the discovery service's own.
        age_ms: how long ago the discovery service confirmed this state; None: not reported.
    """

    cursor: int
    events: tuple[Command, ...]
    faults: tuple[str, ...] = ()
    epoch: str | None = None
    age_ms: float | None = None


class Faults:
    """Codes of what could not be read in one response."""

    def __init__(self) -> None:
        self.codes: list[str] = []

    def add(self, code: str) -> None:
        """Add one fault.

        Raises:
            TooManyFaultsError: there are over ``MAX_FAULTS``.
        """
        self.codes.append(code)
        if len(self.codes) > MAX_FAULTS:
            raise TooManyFaultsError


class _NumberedEvent(NamedTuple):
    """An event as parsed JSON, and its number; None where that cannot be read."""

    number: int | None
    event: Any


class _EventsRead(NamedTuple):
    """The events that could be read, and the first codes of what could not."""

    events: list[Command]
    faults: tuple[str, ...]


def parse_address(text: str) -> Address:
    """Parse ``HOST:PORT``.

    Raises:
        AddressError: it is no address.
    """
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not host or not is_number or not 0 < int(port) <= MAX_PORT:
        raise AddressError(text)
    return host, int(port)


def decode_commands(data: bytes) -> Commands:
    """Decode a response.

    Raises:
        ProtocolError: ``commands-form``, it is none, or ``commands-faults``.
    """
    try:
        document = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise ProtocolError("commands-form") from error
    return parse_commands(document)


def parse_commands(document: Any) -> Commands:
    """Read a response from parsed JSON, as the configuration holds it too.

    Raises:
        ProtocolError: ``commands-form``, it is none, or ``commands-faults``.
    """
    head = parse_head(document)
    listed = document.get("cmds")
    if not isinstance(listed, list):
        raise ProtocolError("commands-form")
    found = _read_events([_numbered(event) for event in listed], head.cursor)
    events = sorted(found.events, key=lambda command: command.cursor)
    return replace(head, events=tuple(events), faults=found.faults)


def parse_head(document: Any) -> Commands:
    """Read what a response says beside its events.

    Raises:
        ProtocolError: ``commands-form``, it has no cursor.
    """
    try:
        cursor = int(_unsigned(document["cursor"]))
        epoch = document.get("epoch")
    except UNREADABLE as error:
        raise ProtocolError("commands-form") from error
    is_named = isinstance(epoch, str) and _is_epoch(epoch)
    return Commands(cursor, (), epoch=epoch if is_named else None, age_ms=_optional(document, "age"))


def parse_partial(listed: list[Any], known: int) -> Commands:
    """Read events of a response that arrives in parts, as one response of their own.

    Drains come before purges in it.  An event whose number cannot be read counts as the last one.

    Args:
        listed: complete events as parsed JSON.
        known: number of the last event that is known; the events up to it are left out.

    Raises:
        ProtocolError: ``commands-faults``.
    """
    numbered = [_numbered(event) for event in listed]
    last = max((number for number, _ in numbered if number is not None), default=known)
    unknown = [entry for entry in numbered if entry.number is None or entry.number > known]
    events, faults = _read_events(unknown, max(last, known))
    events.sort(key=lambda command: (isinstance(command, Purge), command.cursor))
    cursor = max((command.cursor for command in events), default=known)
    return Commands(cursor, tuple(events), faults)


def encode_host(host: Host) -> dict[str, Any]:
    """Return the line of the endpoint list that is read as this host."""
    return {
        "host": host.name,
        "dial": "" if host.address is None else f"{host.address[0]}:{host.address[1]}",
        "site": host.site,
        "class": host.kind,
        "block": host.cell,
        "health": HEALTH_VALUES[host.state],
        "share": host.weight,
        "born_ms": host.started_unix_ms,
    }


def _read_events(numbered: list[_NumberedEvent], last: int) -> _EventsRead:
    """Read events; one without a readable number counts as the last one, so that it is used."""
    faults = Faults()
    events: list[Command] = []
    try:
        for number, event in numbered:
            if number is None:
                faults.add("event-cursor")
            command = _read_event(event, last if number is None else number, faults)
            if command is not None:
                events.append(command)
    except TooManyFaultsError as error:
        raise ProtocolError("commands-faults") from error
    return _EventsRead(events, tuple(faults.codes[:MAX_REPORTED_FAULTS]))


def _numbered(event: Any) -> _NumberedEvent:
    try:
        return _NumberedEvent(int(_unsigned(event["cursor"])), event)
    except UNREADABLE:
        return _NumberedEvent(None, event)


def _is_epoch(text: str) -> bool:
    return 0 < len(text) <= MAX_EPOCH_CHARACTERS and EPOCH_CHARACTERS.issuperset(text)


def _optional(document: Mapping[str, Any], key: str) -> float | None:
    """A number that may be missing; anything else is ignored, for the plain protocol has no such key."""
    try:
        return float(_unsigned(document[key]))
    except UNREADABLE:
        return None


def _signed(value: Any) -> float:
    """Return a number on whose value all JSON readers agree; MalformedValueError for anything else."""
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not -MAX_NUMBER <= value <= MAX_NUMBER
    ):
        raise MalformedValueError
    return value


def _unsigned(value: Any) -> float:
    """Return such a number that is not negative."""
    number = _signed(value)
    if number < 0:
        raise MalformedValueError
    return number


def _read_event(event: Any, cursor: int, faults: Faults) -> Command | None:
    """Read an event; None for one that is unknown, or cannot be read."""
    try:
        if "nodes" in event:
            return _read_list_change(cursor, event["nodes"], faults)
        if "drop" in event:
            return _read_purge(cursor, event["drop"], faults)
    except UNREADABLE:
        faults.add("event-form")
    return None


def _read_list_change(cursor: int, nodes: Mapping[str, Any], faults: Faults) -> ListChange:
    lines = nodes["hosts"]
    if not isinstance(lines, list):
        raise MalformedValueError
    hosts = [host for line in lines if (host := _read_host(line, faults)) is not None]
    if lines and not hosts:
        # A complete list of nothing but malformed lines would otherwise end all endpoints.
        raise MalformedValueError
    seq = _optional(nodes, "seq")
    is_complete = bool(nodes.get("whole", False))
    return ListChange(cursor, is_complete, tuple(hosts), None if seq is None else int(seq))


def _read_host(line: Any, faults: Faults) -> Host | None:
    """Read a line of the list; None for one without a name.

    A host with any other malformed value is leaving, except for the weight, on which no rule depends.
    """
    if not isinstance(line, Mapping) or not isinstance(line.get("host"), str):
        faults.add("host-name")
        return None
    weight = _read_value(line, "share", _unsigned, 1.0, faults)
    harmless_faults = len(faults.codes)
    state = _read_value(line, "health", STATES.__getitem__, api.ServerState.DRAINING, faults)
    address = _read_value(line, "dial", _optional_address, None, faults)
    started_unix_ms = _read_value(line, "born_ms", _signed, 0.0, faults)
    cell = _read_value(line, "block", _signed, 0.0, faults)
    if "health" not in line:
        faults.add("host-health")
    if state is api.ServerState.SERVING and len(faults.codes) > harmless_faults:
        state = api.ServerState.DRAINING
    return Host(
        name=line["host"],
        address=address,
        site=str(line.get("site", "")),
        kind=str(line.get("class", "")),
        cell=int(cell),
        state=state,
        weight=float(weight),
        started_unix_ms=float(started_unix_ms),
    )


def _read_value(
    line: Mapping[str, Any], key: str, convert: Callable[[Any], T], default: T, faults: Faults
) -> T:
    """Read one value of a line; the default where it is missing or malformed."""
    try:
        return convert(line[key]) if key in line else default
    except UNREADABLE:
        faults.add(f"host-{key}")
        return default


def _optional_address(text: Any) -> Address | None:
    return parse_address(text) if text else None


def _read_purge(cursor: int, drop: Mapping[str, Any], faults: Faults) -> Purge:
    key: int | None = None
    group = 0
    if "id" in drop:
        key = int(drop["id"], HEX)
        if not 0 <= key < MAX_OBJECT_ID:
            raise MalformedValueError
    else:
        group = int(_unsigned(drop["family"]))
    try:
        issued_unix_ms = float(_unsigned(drop["when"]))
    except UNREADABLE:
        faults.add("drop-when")
        issued_unix_ms = math.inf
    return Purge(cursor, key, group, issued_unix_ms)
