"""Measures the cost of the fleet layer per member, by the number of members: membership and quota leases.

    PYTHONPATH=. python benchmarks/capacity_membership.py [--members N,N] [PART...]

Parts: ``voter`` (CPU time of a lease request at a voter), ``door`` (the reply to the admin command
``fleet``) and ``steady`` (datagrams, bytes and CPU time of a member, and the time in which a restart
propagates; quota leases are sent in the same datagrams); all of them by default. CPU time of ``steady`` is
that of the members' state machines, without sockets or the simulated network. Fleets that consist of voters
alone are left out of the fits.
"""

from __future__ import annotations

import math
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import astuple, dataclass
from types import SimpleNamespace
from typing import Any

import click
from benchmark_tools.command_line import NumberList, run_parts
from benchmark_tools.line_fit import fit_line
from benchmark_tools.membership_fleet import (
    JOIN_MS,
    all_know_all_members,
    build_fleet,
    propagate_restart,
    run_until,
    sent_totals,
)
from benchmark_tools.tables import markdown_table, print_table
from fleet_membership import MembershipView, MemberView, PartitionMode
from fleet_sim import LinkQuality, SimulatedCluster, node_names
from gossip_codec import MemberState
from msgspec import msgpack
from quota_leases import LeaseExchange, QuotaSettings

from thornjunction.runtime.fleet import FleetMember

DEFAULT_MEMBERS = (5, 20, 50, 100, 200, 400)
# Sizes of the fleet in ``voter`` and ``door``.
FLEET_SIZES = (50, 200, 600, 1_200)
# The size for which the fits are evaluated.
FULL_FLEET = 1_200
VOTERS = 5
STEADY_MS = 10_000.0
# Number of restarts; the median of their propagation times is reported.
RESTARTS = 5
# Memory is measured up to this number of members: tracing takes too long in a larger fleet.
MAX_TRACED_MEMBERS = 400
LEASE_REQUESTS = 400
LEASE_ROUNDS = 3
LEASE_REQUESTS_PER_LEASE = 4
VIEW_REPLIES = 20


class TimedMachine:
    """Wraps a member's state machine and adds up its CPU time."""

    def __init__(self, machine: Any) -> None:
        self.machine = machine
        self.cpu_s = 0.0

    def __getattr__(self, name: str) -> Any:
        return getattr(self.machine, name)

    def handle(self, now_ms: float, event: Any) -> Any:
        """Pass an event to the state machine and add its CPU time to ``cpu_s``."""
        begin_s = time.process_time()
        actions = self.machine.handle(now_ms, event)
        self.cpu_s += time.process_time() - begin_s
        return actions


@dataclass(frozen=True, slots=True)
class SteadyCost:
    """Traffic and CPU time per second of a member and of a voter, memory, and propagation time of a restart.

    ``member_kb`` is NaN in fleets that are too large to trace.
    """

    datagrams: float
    sent_bytes: float
    cpu_us: float
    voter_bytes: float
    voter_cpu_us: float
    member_kb: float
    propagation_s: float


# The units of ``SteadyCost``, in its order.
STEADY_UNITS = ("datagrams/s", "bytes/s", "us/s", "voter's bytes/s", "voter's us/s", "KB", "s")


def measure_steady_costs(fleet_sizes: Sequence[int]) -> None:
    """Print the costs of a steady fleet by its size, and their fits."""
    costs = {count: _steady_cost(count) for count in fleet_sizes}
    columns = (
        "members", "datagrams per s", "bytes per s", "CPU us per s", "voter: bytes per s", "CPU us per s",
        "KB per member", "s until all know of a restart",
    )  # fmt: skip
    rows = []
    for count, cost in costs.items():
        datagrams, *others, propagation_s = astuple(cost)
        rows.append(
            (count, f"{datagrams:.2f}", *(f"{value:.0f}" for value in others), f"{propagation_s:.1f}")
        )
    print_table(columns, rows)
    for index, unit in enumerate(STEADY_UNITS):
        values = {count: astuple(cost)[index] for count, cost in costs.items() if count > VOTERS}
        _print_fit(values, unit, "member", float)
        _print_fit(values, unit, "doubling of the members", math.log2)
    print()


def _print_fit(values: dict[int, float], unit: str, per: str, scale: Callable[[float], float]) -> None:
    line = fit_line([(scale(count), value) for count, value in values.items() if not math.isnan(value)])
    print(f"fit: {line.text(unit, f'per {per}', 3)}; at {FULL_FLEET}: {line.at(scale(FULL_FLEET)):.1f}")


def _steady_cost(count: int) -> SteadyCost:
    is_traced = count <= MAX_TRACED_MEMBERS
    if is_traced:
        tracemalloc.start()
    cluster = build_fleet(count, 1, LinkQuality())
    run_until(cluster, lambda: all_know_all_members(cluster, count))
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    cluster.run_until(cluster.now + 3 * JOIN_MS)  # the updates about the joins are no longer sent
    before = sent_totals(cluster)
    cpu_us = _cpu_us_per_s(cluster)
    after = sent_totals(cluster)
    datagrams = [(new[0] - old[0]) / STEADY_MS * 1_000 for old, new in zip(before, after, strict=True)]
    sent_bytes = [(new[1] - old[1]) / STEADY_MS * 1_000 for old, new in zip(before, after, strict=True)]
    plain_members = slice(VOTERS, None) if count > VOTERS else slice(None)
    voters = slice(VOTERS)
    propagations = [propagate_restart(cluster, name, count) for name in node_names(count)[-RESTARTS:]]
    return SteadyCost(
        datagrams=statistics.mean(datagrams[plain_members]),
        sent_bytes=statistics.mean(sent_bytes[plain_members]),
        cpu_us=statistics.mean(cpu_us[plain_members]),
        voter_bytes=statistics.mean(sent_bytes[voters]),
        voter_cpu_us=statistics.mean(cpu_us[voters]),
        member_kb=traced_bytes / count / 1_024 if is_traced else math.nan,
        propagation_s=statistics.median(propagation.all_learned_ms for propagation in propagations) / 1_000,
    )


def _cpu_us_per_s(cluster: SimulatedCluster) -> list[float]:
    """Run for ``STEADY_MS`` and return the CPU time of each member, in us per second."""
    nodes = list(cluster.nodes.values())
    machines = [TimedMachine(node.machine) for node in nodes]
    for node, machine in zip(nodes, machines, strict=True):
        node.machine = machine
    cluster.run_until(cluster.now + STEADY_MS)
    for node, machine in zip(nodes, machines, strict=True):
        node.machine = machine.machine
    return [machine.cpu_s / STEADY_MS * 1e9 for machine in machines]


def measure_leases(_fleet_sizes: Sequence[int]) -> None:
    """Print the cost of lease requests at a voter by the number of routers."""
    costs_us = {count: min(_lease_us(count) for _ in range(LEASE_ROUNDS)) for count in FLEET_SIZES}
    request_interval_s = QuotaSettings(("a",), ("a",)).lease_ms / 1_000 / LEASE_REQUESTS_PER_LEASE
    rows = []
    for count, cost_us in costs_us.items():
        requests_per_s = count / request_interval_s
        rows.append(
            (count, f"{requests_per_s:.0f}", f"{cost_us:.0f}", f"{cost_us * requests_per_s / 1e6:.1%}")
        )
    print(markdown_table(("routers", "requests per s at a voter", "us per request", "share of a core"), rows))
    print(f"\nfit: {fit_line(list(costs_us.items())).text('us', 'per router')}\n")


def _lease_us(count: int) -> float:
    """Return a voter's CPU time of one lease request; all routers hold leases and request one by one."""
    names = node_names(count)
    settings = QuotaSettings(names, names[:VOTERS])
    voter = LeaseExchange(settings, names[0], 1, 0.0)
    # Lease requests as a router encodes them: message tag, incarnation and request number.
    first_request, second_request = (msgpack.encode((1, 1, number)) for number in (1, 2))
    now_ms = settings.issuer_lease_ms + 1.0
    for name in names:
        assert voter.handle_message(now_ms, name, first_request, names) is not None
    begin_s = time.process_time()
    for number in range(LEASE_REQUESTS):
        voter.handle_message(now_ms + number, names[number % count], second_request, names)
    return (time.process_time() - begin_s) / LEASE_REQUESTS * 1e6


@dataclass(frozen=True, slots=True)
class ReplyCost:
    """Size and CPU time of a reply."""

    size_kb: float
    cpu_us: float


def measure_view_replies(_fleet_sizes: Sequence[int]) -> None:
    """Print the cost of encoding the reply to the admin command ``fleet`` by the number of members."""
    costs = {count: _view_reply_cost(count) for count in FLEET_SIZES}
    rows = [(count, f"{cost.size_kb:.1f}", f"{cost.cpu_us:.0f}") for count, cost in costs.items()]
    print_table(("members", "KB per reply", "us per reply"), rows)
    size_line = fit_line([(count, cost.size_kb) for count, cost in costs.items()])
    cpu_line = fit_line([(count, cost.cpu_us) for count, cost in costs.items()])
    print(f"fit: {size_line.text('KB', 'per member', 3)}")
    print(f"fit: {cpu_line.text('us', 'per member', 3)}\n")


def _view_reply_cost(count: int) -> ReplyCost:
    members = {
        name: MemberView(name, ("10.0.0.1", 1), 1 << 40, MemberState.ALIVE) for name in node_names(count)
    }
    view = MembershipView(1, members, True, 0.0, PartitionMode.WITH_MAJORITY, 0)
    member: Any = SimpleNamespace(membership=SimpleNamespace(view=lambda _now_ms: view))
    begin_s = time.process_time()
    replies = [FleetMember.view(member) for _ in range(VIEW_REPLIES)]
    cpu_s = time.process_time() - begin_s
    return ReplyCost(len(replies[0]) / 1e3, cpu_s / VIEW_REPLIES * 1e6)


PARTS: dict[str, Callable[[Sequence[int]], None]] = {
    "voter": measure_leases,
    "door": measure_view_replies,
    "steady": measure_steady_costs,
}


@click.command(help=__doc__)
@click.option(
    "--members", type=NumberList(), default=DEFAULT_MEMBERS, help="sizes of the fleet in the part steady"
)
@click.argument("parts", nargs=-1, type=click.Choice(list(PARTS)))
def main(members: tuple[int, ...], parts: tuple[str, ...]) -> None:
    """Measure the selected parts, or all."""
    run_parts(PARTS, parts, members)


if __name__ == "__main__":
    main()
