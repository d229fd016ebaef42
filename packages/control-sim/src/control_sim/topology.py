"""Discovery `d`, relays `r1` and `r2` (siblings), `c1` below both, routers, and a plain router, as a
subject."""

from __future__ import annotations

from collections import Counter
from typing import Any

from control_relay import Relay, RelaySettings
from fleet_sim import Disk, LinkQuality, Node, Subject
from fleet_sim import SimulatedCluster as World
from sansio_core import Address, Notice, RandomSource

from control_sim.checks import Checks, settled
from control_sim.discovery import Discovery
from control_sim.lines import CARRY
from control_sim.nodes import PlainRouter, RelayNode, Router, first_connection

HOLD_MS = 4_000.0
SETTLE_MS = 25_000.0
BASE = 1_764_600_000  # Unix seconds at which simulated time begins
NAMES = ("d", "r1", "r2", "c1", "x1", "x2", "x3")
UPSTREAMS = {
    "r1": ("d",),
    "r2": ("d",),
    "c1": ("r1", "r2"),
    "x1": ("r1", "r2"),
    "x2": ("c1", "r2"),
    "x3": ("r2",),  # the plain one
}
SIBLINGS = {"r1": ("r2",), "r2": ("r1",)}
EXPECTED = {"r1": ("x1",), "c1": ("x2",)}


def settings(name: str) -> RelaySettings:
    """Short holds, small pages and a small log, so that their ends are met within seconds."""
    return RelaySettings(
        expected=EXPECTED.get(name, ()),
        hold_ms=HOLD_MS,
        absent_ms=800.0,
        page_bytes=320,
        most_changes=4,
    )


def build(name: str, address: Address, incarnation: int, draw: RandomSource, disk: Disk) -> Any:
    connection = first_connection(NAMES.index(name) + 1, incarnation)
    if name == "d":
        return Discovery(incarnation, draw, disk)
    if name == "x3":
        return PlainRouter(UPSTREAMS[name][0], connection)
    if name.startswith("x"):
        return Router(name, UPSTREAMS[name], draw, connection, HOLD_MS)
    relay = Relay(settings(name), f"{name}-{incarnation}", (BASE + 10 * incarnation) << 20)
    return RelayNode(name, relay, UPSTREAMS[name], SIBLINGS.get(name, ()), draw, connection)


def tally(world: World, counts: Counter[str]) -> None:
    """Counts what relays and sources tell, so that a run shows what it met."""

    def listen(node: Node, told: Notice) -> None:
        counts[told.name] += 1

    world.listeners.append(listen)


def subject(names: tuple[str, ...] = NAMES) -> Subject:
    return Subject(
        build,
        lambda: [Checks(HOLD_MS)],
        settled,
        SETTLE_MS,
        LinkQuality(min_delay_ms=0.5, max_delay_ms=4.0),
        action_handlers=CARRY,
        attach_counters=tally,
    )
