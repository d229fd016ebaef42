"""The command channel's events: changes to the list of shelfs, and purges."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from thornjunction import interface as api
from thornjunction.net.wire import ProtocolError

STATES = {"active": api.State.SERVING, "leaving": api.State.DRAINING, "left": api.State.GONE}


@dataclass(frozen=True, slots=True)
class Host:
    """One line of the list; its times are Unix milliseconds."""

    name: str
    address: tuple[str, int] | None
    site: str
    kind: str
    cell: int
    state: api.State
    weight: float
    born_ms: float


@dataclass(frozen=True, slots=True)
class ListChange:
    cursor: int
    whole: bool
    hosts: tuple[Host, ...]


@dataclass(frozen=True, slots=True)
class Purge:
    cursor: int
    key: int | None
    group: int
    when_ms: float  # Unix milliseconds


Command = ListChange | Purge


@dataclass(frozen=True, slots=True)
class Commands:
    cursor: int
    events: tuple[Command, ...]


def parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"bad address {text[:80]!r}")
    return host, int(port)


def decode_commands(data: bytes) -> Commands:
    try:
        return read_commands(json.loads(data))
    except RecursionError as error:
        raise ProtocolError("commands-form") from error
    except ValueError as error:
        raise ProtocolError("commands-form") from error


def read_commands(told: Any) -> Commands:
    """Commands from parsed JSON, as the channel and the configuration hold them."""
    try:
        events = tuple(_command(event) for event in told["cmds"])
        return Commands(int(told["cursor"]), events)
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise ProtocolError("commands-form") from error


def _command(event: Mapping[str, Any]) -> Command:
    cursor = int(event["cursor"])
    if "nodes" in event:
        nodes = event["nodes"]
        return ListChange(cursor, bool(nodes.get("whole", False)), tuple(_host(h) for h in nodes["hosts"]))
    drop = event["drop"]
    key = int(drop["id"], 16) if "id" in drop else None
    return Purge(cursor, key, int(drop["family"]) if key is None else 0, float(drop["when"]))


def _host(host: Mapping[str, Any]) -> Host:
    return Host(
        name=str(host["host"]),
        address=parse_address(host["dial"]) if host.get("dial") else None,
        site=str(host.get("site", "")),
        kind=str(host.get("class", "")),
        cell=int(host.get("block", 0)),
        state=STATES[host["health"]],
        weight=float(host.get("share", 1.0)),
        born_ms=float(host.get("born_ms", 0.0)),
    )
