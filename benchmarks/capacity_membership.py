"""What the fleet layer costs a member by the members there are: membership in simulation, a voter's leases.

    PYTHONPATH=. python benchmarks/capacity_membership.py [--members N...] [PART...]

Parts: ``voter`` (processor time of a lease that a voter is asked for), ``door`` (the reply to the operators'
call ``fleet``) and ``steady`` (datagrams, bytes and processor time of a member, seconds to spread; the fleet
of ``fleet_figures.py``, shares of the budgets on the same datagrams).  Processor time there is that of the
members' own machines: without sockets, and without the simulated network.  A fleet of voters alone is no
point of a fit."""

from __future__ import annotations

import math
import statistics
import time
import tracemalloc
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import fleet_figures as figures
from capacity_fit import fit, row, sized_main, table
from fleet_membership import MembershipView, MemberView, PartitionMode
from fleet_sim import LinkQuality, SimulatedCluster, node_names
from fleet_sim.membership_invariants import view_of
from gossip_codec import MemberState
from msgspec import msgpack
from quota_leases import LeaseExchange, QuotaSettings

from thornjunction.runtime.fleet import FleetMember

MEMBERS, VOTER_MEMBERS = (5, 20, 50, 100, 200, 400), (50, 200, 600, 1_200)
WANTED, VOTERS, STEADY_MS, ASKS, CHANGES, TRACED = 1_200, 5, 10_000.0, 400, 5, 400


class Timed:
    """A member's machine, and how long it worked."""

    def __init__(self, machine: Any) -> None:
        self.machine, self.used = machine, 0.0

    def __getattr__(self, name: str) -> Any:
        return getattr(self.machine, name)

    def handle(self, now: float, event: Any) -> Any:
        begun = time.process_time()
        actions = self.machine.handle(now, event)
        self.used += time.process_time() - begun
        return actions


def all_met(world: SimulatedCluster, count: int) -> bool:
    views = (view_of(world, node) for node in world.nodes.values())
    return all(view is not None and len(view.members) >= count for view in views)


def spread_s(world: SimulatedCluster, count: int) -> float:
    """Seconds until all know that one has begun a new life: the median of CHANGES."""
    changed = node_names(count)[-CHANGES:]
    return statistics.median(spread_of(world, name, count) for name in changed)


def spread_of(world: SimulatedCluster, changed: str, count: int) -> float:
    watch = figures.Watch(world, changed)
    world.kill(changed)
    world.start(changed)
    took = figures.until(world, lambda: len(watch.first) == count - 1)
    world.listeners.pop()
    return took / 1_000


def steady_of(count: int) -> tuple[float, ...]:
    """Of a member that is no voter: datagrams and bytes it sends a second, us of processor time a second; of
    a voter the same bytes and time; KB that a member holds (NaN with more than TRACED: tracing takes too
    long), and seconds until all know of a new life."""
    if count <= TRACED:
        tracemalloc.start()
    world = figures.fleet(count, 1, LinkQuality())
    figures.until(world, lambda: all_met(world, count))
    held_kb = tracemalloc.get_traced_memory()[0] / count / 1_024 if count <= TRACED else math.nan
    tracemalloc.stop()
    world.run_until(world.now + 3 * figures.JOIN_MS)
    before = [(node.sent_datagrams, node.sent_bytes) for node in world.nodes.values()]
    machines = [Timed(node.machine) for node in world.nodes.values()]
    for node, machine in zip(world.nodes.values(), machines, strict=True):
        node.machine = machine
    world.run_until(world.now + STEADY_MS)
    used = [machine.used / STEADY_MS * 1e9 for machine in machines]
    for node, machine in zip(world.nodes.values(), machines, strict=True):
        node.machine = machine.machine
    after = [(node.sent_datagrams, node.sent_bytes) for node in world.nodes.values()]
    sent, octets = (
        [(b[i] - a[i]) / STEADY_MS * 1_000 for a, b in zip(before, after, strict=True)] for i in (0, 1)
    )
    plain, voting = slice(VOTERS, None) if count > VOTERS else slice(None), slice(VOTERS)
    told = (
        statistics.mean(one)
        for one in (sent[plain], octets[plain], used[plain], octets[voting], used[voting])
    )
    return *told, held_kb, spread_s(world, count)


def steady(counts: tuple[int, ...]) -> None:
    found = {count: steady_of(count) for count in counts}
    rows = [
        row(count, f"{sent:.2f}", *(f"{one:.0f}" for one in told), f"{spread:.1f}")
        for count, (sent, *told, spread) in found.items()
    ]
    head = "members | datagrams a s | bytes a s | us of processor a s | a voter: bytes a s | us a s "
    print(table(head + "| KB a member holds | s until all know of a new life", rows) + "\n")
    for at, unit in enumerate(
        ("datagrams/s", "bytes/s", "us/s", "voter's bytes/s", "voter's us/s", "KB", "s")
    ):
        for name, scale in (("member", float), ("doubling of the members", math.log2)):
            points = [(scale(count), told[at]) for count, told in found.items() if count > VOTERS]
            line = fit([point for point in points if not math.isnan(point[1])])
            at_wanted = line.at(scale(WANTED))
            print(f"fit: {line.text(unit, f'a {name}', 3)}; at {WANTED}: {at_wanted:.1f}")
    print()


def lease_us(count: int) -> float:
    """A voter is asked by each router in turn, all of them holding leases: us of processor an ask."""
    names = node_names(count)
    settings = QuotaSettings(names, names[:VOTERS])
    voter = LeaseExchange(settings, names[0], 1, 0.0)
    # As a router's own asks are written: life, number, after the tag of their kind.
    asks = [msgpack.encode((1, 1, number)) for number in range(1, 3)]
    now = settings.issuer_lease_ms + 1.0
    for name in names:
        assert voter.handle_message(now, name, asks[0], names) is not None
    begun = time.process_time()
    for number in range(ASKS):
        voter.handle_message(now + number, names[number % count], asks[1], names)
    return (time.process_time() - begun) / ASKS * 1e6


def voter(_: tuple[int, ...]) -> None:
    found = {count: min(lease_us(count) for _ in range(3)) for count in VOTER_MEMBERS}
    every_s = QuotaSettings(("a",), ("a",)).lease_ms / 4_000
    rows = [
        row(count, f"{count / every_s:.0f}", f"{us:.0f}", f"{us * count / every_s / 1e6:.1%}")
        for count, us in found.items()
    ]
    print(table("routers | asks a s at a voter | us an ask | of a core", rows))
    line = fit(list(found.items()))
    print(f"\nfit: {line.text('us', 'a router')}\n")


def door(_: tuple[int, ...]) -> None:
    """The reply alone: the machine keeps its view until somebody's state changes."""
    found = {}
    for count in VOTER_MEMBERS:
        names = node_names(count)
        members = {name: MemberView(name, ("10.0.0.1", 1), 1 << 40, MemberState.ALIVE) for name in names}
        told = MembershipView(1, members, True, 0.0, PartitionMode.WITH_MAJORITY, 0)
        asked: Any = SimpleNamespace(membership=SimpleNamespace(view=lambda now, told=told: told))
        begun = time.process_time()
        replies = [FleetMember.view(asked) for _ in range(20)]
        found[count] = len(replies[0]) / 1e3, (time.process_time() - begun) / 20 * 1e6
    rows = [row(count, f"{kb:.1f}", f"{us:.0f}") for count, (kb, us) in found.items()]
    print(table("members | KB a reply | us a reply", rows) + "\n")
    for at, unit in enumerate(("KB", "us")):
        line = fit([(count, told[at]) for count, told in found.items()])
        print(f"fit: {line.text(unit, 'a member', 3)}")
    print()


PARTS: dict[str, Callable[[tuple[int, ...]], None]] = {"voter": voter, "door": door, "steady": steady}


if __name__ == "__main__":
    sized_main(__doc__, "--members", MEMBERS, PARTS)
