"""Membership in figures, all in simulation: writes the tables of docs/FLEET-FIGURES.md.

python benchmarks/fleet_figures.py [--members 5 20 50 200 500] [--write docs/FLEET-FIGURES.md]
"""

from __future__ import annotations

import argparse
import math
import time
from collections.abc import Callable, Iterable
from functools import partial
from pathlib import Path

from fleet_sim import LinkQuality, Node, SimulatedCluster, node_names
from fleet_sim.command import percentile
from fleet_sim.membership import subject
from fleet_sim.membership_invariants import view_of
from fleet_sim.run import make_cluster
from sansio_core import Notice

JOIN_MS = 10_000.0
LIMIT_MS = 120_000.0
TRIALS = 40  # of a detection, for each row
FLEET = 20  # members of a fleet in which something is detected
WATCHED = 2  # fleets, for each row
ALARM_MS = 300_000.0  # for which a fleet without a failure is watched
CHANGES = 5  # of which the median spread is taken
STEADY_MS = 20_000.0  # over which bytes are counted
LOOK_MS = 100.0


class Watch:
    """Who was told what of one member, and every verdict of failure."""

    def __init__(self, world: SimulatedCluster, about: str = "") -> None:
        self.world, self._about = world, about
        self.first: dict[str, float] = {}  # by observer: when it held `about` as failed, or in a new life
        self.failed: list[tuple[str, str]] = []
        world.listeners.append(self._listen)

    def _listen(self, node: Node, told: Notice) -> None:
        if told.name == "member" and told.fields["name"] != node.name:
            if told.fields["state"] == "failed":
                self.failed.append((node.name, str(told.fields["name"])))
            anew = told.fields["state"] == "alive" and told.fields["incarnation"] != 1
            if told.fields["name"] == self._about and (anew or told.fields["state"] == "failed"):
                self.first.setdefault(node.name, self.world.now)


def fleet(count: int, seed: int, quality: LinkQuality) -> SimulatedCluster:
    """A fleet of `count` that had JOIN_MS to meet. No invariants: they are tested elsewhere."""
    names = node_names(count)
    world = make_cluster(subject(names, base_quality=quality, checked=False), seed, names, trace=False)
    world.listeners.append(lambda node, told: world.trace.clear())  # no timeline is wanted
    for index, name in enumerate(names):
        world.schedule(index * JOIN_MS / 2 / count, partial(world.start, name))
    world.run_until(JOIN_MS)
    return world


def until(world: SimulatedCluster, done: Callable[[], bool], limit: float = LIMIT_MS) -> float:
    """Run until something is so; returns how long that took, or inf."""
    begun = world.now
    while not done():
        if world.now - begun >= limit:
            return math.inf
        world.run_until(world.now + LOOK_MS)
    return world.now - begun


def detection(loss: float) -> str:
    """One of FLEET is killed: how long until the first, and until the last, holds it as failed."""
    firsts, lasts, false = [], [], 0
    for seed in range(TRIALS):
        world = fleet(FLEET, seed, LinkQuality(loss=loss))
        victim = node_names(FLEET)[-1]
        watch = Watch(world, victim)
        killed = world.now
        world.kill(victim)
        until(world, lambda watch=watch: len(watch.first) == FLEET - 1)  # type: ignore[misc]
        firsts.append(min(watch.first.values(), default=math.inf) - killed)
        lasts.append(max(watch.first.values()) - killed if len(watch.first) == FLEET - 1 else math.inf)
        false += sum(name != victim for _, name in watch.failed)
    return row(
        f"{loss:.0%}",
        *(f"{percentile(v, s) / 1_000:.1f}" for v in (firsts, lasts) for s in (0.5, 0.99)),
        false,
    )


def alarms(loss: float, paused: int) -> str:
    """Nothing fails; some are paused again and again, shorter than a suspicion: all verdicts are false."""
    false = about = 0
    for seed in range(WATCHED):
        world = fleet(FLEET, seed, LinkQuality(loss=loss))
        watch = Watch(world)
        names = node_names(FLEET)[-paused:] if paused else ()
        for start in range(10_000, int(ALARM_MS), 15_000):
            for name in names:
                world.schedule(world.now + start, partial(world.pause, name))
                world.schedule(world.now + start + 2_500, partial(world.resume, name))
        world.run_until(world.now + ALARM_MS)
        false += sum(name not in names for _, name in watch.failed)
        about += sum(name in names for _, name in watch.failed)
    return row(f"{loss:.0%}", paused, f"{WATCHED * ALARM_MS * FLEET / 3.6e6:.1f}", false, about)


def cost(count: int) -> str:
    """A steady fleet: bytes and datagrams that a member sends; then rounds until all know of a new life."""
    begun = time.perf_counter()
    world = fleet(count, 1, LinkQuality())
    met = until(world, lambda: all(_known(node, world) >= count for node in world.nodes.values()))
    world.run_until(world.now + 3 * JOIN_MS)  # rumours of the joining die down
    before = [(node.sent_datagrams, node.sent_bytes) for node in world.nodes.values()]
    world.run_until(world.now + STEADY_MS)
    after = [(node.sent_datagrams, node.sent_bytes) for node in world.nodes.values()]
    sent, octets = (
        (sum(new[i] - old[i] for new, old in zip(after, before, strict=True)) / count / STEADY_MS * 1_000)
        for i in (0, 1)
    )
    spread = _spread(world, count)
    took = time.perf_counter() - begun
    joined = f"{(JOIN_MS + met) / 1_000:.1f}"
    return row(
        count, joined, f"{sent:.2f}", f"{octets:.0f}", spread, f"{math.log2(count):.1f}", f"{took:.0f}"
    )


def _known(node: Node, world: SimulatedCluster) -> int:
    view = view_of(world, node)
    return len(view.members) if view else 0


def _spread(world: SimulatedCluster, count: int) -> str:
    """Rounds (probe periods of 1 s) until half, and all, know that one has begun a new life: medians."""
    halves, wholes = zip(
        *(_spread_one(world, name, count) for name in node_names(count)[:CHANGES]), strict=True
    )
    return f"{percentile(halves, 0.5) / 1_000:.1f} / {percentile(wholes, 0.5) / 1_000:.1f}"


def _spread_one(world: SimulatedCluster, changed: str, count: int) -> tuple[float, float]:
    watch = Watch(world, changed)
    world.kill(changed)
    world.start(changed)
    begun = world.now
    until(world, lambda: len(watch.first) == count - 1)
    world.listeners.pop()
    times = [*watch.first.values(), *[math.inf] * (count - 1 - len(watch.first))]
    return percentile(times, 0.5) - begun, max(times) - begun


def row(*cells: object) -> str:
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def table(head: str, rows: Iterable[str]) -> str:
    columns = [part.strip() for part in head.split("|")]
    return "\n".join([row(*columns), "|" + "---|" * len(columns), *rows])


def document(members: list[int]) -> str:
    pauses = [(loss, paused) for loss in (0.0, 0.05, 0.2) for paused in (0, 2)]
    parts = [
        "# The fleet in figures\n",
        "Made by `benchmarks/fleet_figures.py` in simulation (`docs/design/fleet-sim.md`) with the default",
        "timings; delays of 0.2 to 2 ms, clocks within 500 ppm. Seeds are fixed.",
        "Real networks lose in bursts and share their links; that is not shown here.\n",
        f"## Detection of a crash: {FLEET} members, {TRIALS} crashes a row\n",
        "The p99 of so few is the slowest. Lost datagrams are drawn one by one on every link.\n",
        table(
            "loss | first knows, p50 s | p99 s | all know, p50 s | p99 s | false verdicts",
            [detection(loss) for loss in (0.0, 0.05, 0.2)],
        ),
        f"\n## False verdicts: {FLEET} members, nothing fails\n",
        "Paused members stop for 2.5 s every 15 s, all at the same moments.\n",
        table(
            "loss | paused members | member-hours | verdicts on others | verdicts on the paused",
            [alarms(loss, paused) for loss, paused in pauses],
        ),
        "\n## Cost and spread by size, without loss\n",
        "Rounds are probe periods of 1 s, from the restart of one member until half, and all, know its new",
        "life: the median of five restarts. Shares of the budgets ride on the same datagrams.\n",
        table(
            "members | all met after s | datagrams a member and s | bytes a member and s "
            "| rounds to half / all | log2 of members | CPU s of this row",
            [cost(count) for count in members],
        ),
        "",
    ]
    return "\n".join(parts)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", type=int, nargs="+", default=[5, 20, 50, 200, 500])
    parser.add_argument("--write", type=Path)
    args = parser.parse_args()
    text = document(args.members)
    if args.write:
        args.write.write_text(text, encoding="utf-8")
    else:
        print(text)


if __name__ == "__main__":
    main()
