"""Measures membership in simulation, and writes the page docs/FLEET-FIGURES.md.

PYTHONPATH=. python benchmarks/fleet_figures.py [--members N,N] [--write docs/FLEET-FIGURES.md]
"""

from __future__ import annotations

import math
import time
from functools import partial
from pathlib import Path

import click
from benchmark_tools.command_line import NumberList, time_limit
from benchmark_tools.membership_fleet import (
    JOIN_MS,
    MemberWatch,
    all_know_all_members,
    build_fleet,
    propagate_restart,
    run_until,
    sent_totals,
)
from benchmark_tools.tables import markdown_table
from fleet_sim import LinkQuality, node_names
from fleet_sim.command import percentile

DEFAULT_MEMBERS = (5, 20, 50, 200, 500)
# Members of a fleet in which the detection of crashes or false verdicts is measured.
FLEET_MEMBERS = 20
# Number of crashes, each in a fleet of its own, per row.
CRASHES = 40
LOSS_SHARES = (0.0, 0.05, 0.2)
# Fleets per row in which no member fails, their run time, and the numbers of members that are paused.
OBSERVED_FLEETS = 2
OBSERVATION_MS = 300_000.0
PAUSED_COUNTS = (0, 2)
PAUSE_MS = 2_500
PAUSE_INTERVAL_MS = 15_000
FIRST_PAUSE_MS = 10_000
HOUR_MS = 3.6e6
# Number of restarts; the median of their propagation times is reported.
RESTARTS = 5
# Time over which datagrams and bytes are counted.
STEADY_MS = 20_000.0
PROBE_PERIOD_MS = 1_000

# The page, with a placeholder for each table.
PAGE = f"""# The fleet in figures

Made by `benchmarks/fleet_figures.py` in simulation (`docs/design/fleet-sim.md`) with the default
timings; delays of 0.2 to 2 ms, clocks within 500 ppm. Seeds are fixed.
Real networks lose in bursts and share their links; that is not shown here.

## Detection of a crash: {FLEET_MEMBERS} members, {CRASHES} crashes a row

The p99 of so few is the slowest. Lost datagrams are drawn one by one on every link.

{{detection}}

## False verdicts: {FLEET_MEMBERS} members, nothing fails

Paused members stop for 2.5 s every 15 s, all at the same moments.

{{false_verdicts}}

## Cost and spread by size, without loss

Rounds are probe periods of 1 s, from the restart of one member until half, and all, know its new
life: the median of five restarts. Shares of the budgets ride on the same datagrams.

{{costs}}
"""

Row = tuple[object, ...]


def measure_detection(loss_share: float) -> Row:
    """Kill a member; return a row with the times until the first and the last other see it as failed."""
    first_ms = []
    last_ms = []
    false_verdicts = 0
    victim = node_names(FLEET_MEMBERS)[-1]
    for seed in range(CRASHES):
        cluster = build_fleet(FLEET_MEMBERS, seed, LinkQuality(loss=loss_share))
        watch = MemberWatch(cluster, victim)
        killed_ms = cluster.now
        cluster.kill(victim)
        run_until(cluster, partial(_all_have_learned, watch))
        learned_ms = watch.learned_ms.values()
        first_ms.append(min(learned_ms, default=math.inf) - killed_ms)
        last_ms.append(max(learned_ms) - killed_ms if _all_have_learned(watch) else math.inf)
        false_verdicts += sum(name != victim for name in watch.declared_failed)
    percentiles_ms = [percentile(values, share) for values in (first_ms, last_ms) for share in (0.5, 0.99)]
    return f"{loss_share:.0%}", *(f"{value_ms / 1_000:.1f}" for value_ms in percentiles_ms), false_verdicts


def _all_have_learned(watch: MemberWatch) -> bool:
    return len(watch.learned_ms) == FLEET_MEMBERS - 1


def measure_false_verdicts(loss_share: float, paused_count: int) -> Row:
    """Pause some members for less than the suspicion timeout; return a row of the false verdicts."""
    on_others = 0
    on_paused = 0
    paused = node_names(FLEET_MEMBERS)[-paused_count:] if paused_count else ()
    for seed in range(OBSERVED_FLEETS):
        cluster = build_fleet(FLEET_MEMBERS, seed, LinkQuality(loss=loss_share))
        watch = MemberWatch(cluster)
        for pause_ms in range(FIRST_PAUSE_MS, int(OBSERVATION_MS), PAUSE_INTERVAL_MS):
            for name in paused:
                cluster.schedule(cluster.now + pause_ms, partial(cluster.pause, name))
                cluster.schedule(cluster.now + pause_ms + PAUSE_MS, partial(cluster.resume, name))
        cluster.run_until(cluster.now + OBSERVATION_MS)
        on_others += sum(name not in paused for name in watch.declared_failed)
        on_paused += sum(name in paused for name in watch.declared_failed)
    member_hours = OBSERVED_FLEETS * OBSERVATION_MS * FLEET_MEMBERS / HOUR_MS
    return f"{loss_share:.0%}", paused_count, f"{member_hours:.1f}", on_others, on_paused


def measure_cost(count: int) -> Row:
    """Return a row with the traffic of a steady fleet, and the propagation time of a restart."""
    begin_s = time.perf_counter()
    cluster = build_fleet(count, 1, LinkQuality())
    discovery_ms = run_until(cluster, lambda: all_know_all_members(cluster, count))
    cluster.run_until(cluster.now + 3 * JOIN_MS)  # the updates about the joins are no longer sent
    before = sent_totals(cluster)
    cluster.run_until(cluster.now + STEADY_MS)
    after = sent_totals(cluster)
    member_s = count * STEADY_MS / 1_000
    datagrams = sum(new[0] - old[0] for old, new in zip(before, after, strict=True))
    sent_bytes = sum(new[1] - old[1] for old, new in zip(before, after, strict=True))
    propagations = [propagate_restart(cluster, name, count) for name in node_names(count)[:RESTARTS]]
    half_ms = percentile([percentile(propagation.learned_ms, 0.5) for propagation in propagations], 0.5)
    all_ms = percentile([max(propagation.learned_ms) for propagation in propagations], 0.5)
    return (
        count,
        f"{(JOIN_MS + discovery_ms) / 1_000:.1f}",
        f"{datagrams / member_s:.2f}",
        f"{sent_bytes / member_s:.0f}",
        f"{half_ms / PROBE_PERIOD_MS:.1f} / {all_ms / PROBE_PERIOD_MS:.1f}",
        f"{math.log2(count):.1f}",
        f"{time.perf_counter() - begin_s:.0f}",
    )


def detection_table() -> str:
    """Return the table of crash detection, with a row for each loss."""
    columns = ("loss", "first knows, p50 s", "p99 s", "all know, p50 s", "p99 s", "false verdicts")
    return markdown_table(columns, [measure_detection(loss_share) for loss_share in LOSS_SHARES])


def false_verdict_table() -> str:
    """Return the table of false verdicts, by loss and number of paused members."""
    columns = ("loss", "paused members", "member-hours", "verdicts on others", "verdicts on the paused")
    rows = [
        measure_false_verdicts(loss_share, paused_count)
        for loss_share in LOSS_SHARES
        for paused_count in PAUSED_COUNTS
    ]
    return markdown_table(columns, rows)


def cost_table(members: tuple[int, ...]) -> str:
    """Return the table of costs by fleet size."""
    columns = (
        "members", "all met after s", "datagrams a member and s", "bytes a member and s",
        "rounds to half / all", "log2 of members", "CPU s of this row",
    )  # fmt: skip
    return markdown_table(columns, [measure_cost(count) for count in members])


def build_document(members: tuple[int, ...]) -> str:
    """Run all measurements and return the page with their tables."""
    return PAGE.format(
        detection=detection_table(), false_verdicts=false_verdict_table(), costs=cost_table(members)
    )


@click.command(help=__doc__)
@click.option("--members", type=NumberList(), default=DEFAULT_MEMBERS, help="sizes of the fleet")
@click.option(
    "--write", "path", type=click.Path(path_type=Path), help="write to this file instead of standard output"
)
def main(members: tuple[int, ...], path: Path | None) -> None:
    """Run the measurements and write the page."""
    with time_limit():
        document = build_document(members)
    if path is not None:
        path.write_text(document, encoding="utf-8")
    else:
        print(document)


if __name__ == "__main__":
    main()
