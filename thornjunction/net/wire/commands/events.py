"""Reads one event from parsed JSON; malformed values get defaults that break no rule."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from thornjunction import interface as api
from thornjunction.net.wire.commands.address import Address, parse_address
from thornjunction.net.wire.commands.messages import STATES, Command, Host, ListChange, Purge
from thornjunction.net.wire.commands.values import (
    MALFORMED_VALUE_ERRORS,
    Faults,
    MalformedValueError,
    optional_unsigned,
    signed,
    unsigned,
)

# Upper limit of object ids, exclusive; they have 64 bits.
MAX_OBJECT_ID = 1 << 64

# Base of an object id's digits.
HEX_BASE = 16

T = TypeVar("T")


def read_event(event: Any, cursor: int, faults: Faults) -> Command | None:
    """Read an event; None if its kind is unknown or it cannot be read."""
    try:
        if "nodes" in event:
            return _read_list_change(cursor, event["nodes"], faults)
        if "drop" in event:
            return _read_purge(cursor, event["drop"], faults)
    except MALFORMED_VALUE_ERRORS:
        faults.add("event-form")
    return None


def _read_list_change(cursor: int, nodes: Mapping[str, Any], faults: Faults) -> ListChange:
    lines = nodes["hosts"]
    if not isinstance(lines, list):
        raise MalformedValueError
    hosts = [host for line in lines if (host := _read_host(line, faults)) is not None]
    if lines and not hosts:
        # Otherwise, a complete list of only malformed lines would remove all endpoints.
        raise MalformedValueError
    seq = optional_unsigned(nodes, "seq")
    is_complete = bool(nodes.get("whole", False))
    return ListChange(cursor, is_complete, tuple(hosts), None if seq is None else int(seq))


def _read_host(line: Any, faults: Faults) -> Host | None:
    """Read a line of the list; None if it has no name.

    A serving host with any other malformed value counts as draining, except if only its weight is malformed,
    on which no rule depends.
    """
    if not isinstance(line, Mapping) or not isinstance(line.get("host"), str):
        faults.add("host-name")
        return None
    weight = _read_value(line, "share", unsigned, 1.0, faults)
    tolerated_fault_count = len(faults.codes)
    state = _read_value(line, "health", STATES.__getitem__, api.ServerState.DRAINING, faults)
    address = _read_value(line, "dial", _optional_address, None, faults)
    started_unix_ms = _read_value(line, "born_ms", signed, 0.0, faults)
    cell = _read_value(line, "block", signed, 0.0, faults)
    if "health" not in line:
        faults.add("host-health")
    if state is api.ServerState.SERVING and len(faults.codes) > tolerated_fault_count:
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
    """Read one value of a line; the default if it is missing or malformed."""
    try:
        return convert(line[key]) if key in line else default
    except MALFORMED_VALUE_ERRORS:
        faults.add(f"host-{key}")
        return default


def _optional_address(text: Any) -> Address | None:
    return parse_address(text) if text else None


def _read_purge(cursor: int, drop: Mapping[str, Any], faults: Faults) -> Purge:
    key: int | None = None
    group = 0
    if "id" in drop:
        key = int(drop["id"], HEX_BASE)
        if not 0 <= key < MAX_OBJECT_ID:
            raise MalformedValueError
    else:
        group = int(unsigned(drop["family"]))
    try:
        issued_unix_ms = float(unsigned(drop["when"]))
    except MALFORMED_VALUE_ERRORS:
        faults.add("drop-when")
        issued_unix_ms = math.inf
    return Purge(cursor, key, group, issued_unix_ms)
