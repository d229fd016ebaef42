"""What must hold after every step, against what discovery issued and what routers truly hold."""

from __future__ import annotations

import json
import math
from bisect import bisect_right
from typing import Any

from control_relay import Relay
from fleet_sim import Node
from fleet_sim import SimulatedCluster as World

from control_sim.discovery import CLOCK, Discovery
from control_sim.nodes import Lines, PlainRouter, RelayNode, Router

HOP_MS = (
    1400.0  # by which an as-of may be too young a hop: until then nobody knows when an answer was written
)
HOPS = {"r": 2, "c": 3, "x": 4}  # by the first letter of a name; a sibling is one more
SET_BACK_MS = 6_000.0  # after discovery was set back, sources that missed it may be taken for younger
SLACK_MS = 500.0


class Truth:
    """All that discovery issued: versions of the list with their times, and purges."""

    def __init__(self) -> None:
        self.lists: dict[int, Lines] = {}
        self.versions: list[int] = []
        self.since: list[float] = []
        self.purges: list[tuple[Any, float, float]] = []  # what, when, issued at
        self.life, self.set_back_at = 0, -math.inf
        self._purged = 0

    def look(self, world: World, node: Node) -> None:
        discovery = node.machine
        assert isinstance(discovery, Discovery)
        if node.incarnation != self.life:
            self.life, self._purged = node.incarnation, 0
        if not self.versions or discovery.version != self.versions[-1]:
            if self.versions and discovery.version >> 20 != self.versions[-1] >> 20:
                self.set_back_at = world.now
            self.versions.append(discovery.version)
            self.since.append(world.now)
            self.lists[discovery.version] = dict(discovery.lines)
        for what, when in discovery.purges[self._purged :]:
            self.purges.append((what, when, world.now))
        self._purged = len(discovery.purges)

    def version_at(self, at: float) -> int:
        index = bisect_right(self.since, at) - 1
        return self.versions[index] if index >= 0 else 0


def version_of(lines: Lines) -> int:
    return int(lines[CLOCK]["version"]) if lines else 0


class Checks:
    """One invariant with the name of whichever check fails."""

    name = "state"

    def __init__(self, hold_ms: float) -> None:
        self.truth, self.hold_ms = Truth(), hold_ms
        self.taken: dict[
            tuple[str, str], int
        ] = {}  # by router or relay and epoch: the number with all before
        self._versions: dict[tuple[str, int], int] = {}
        self._done: dict[tuple[str, int], int] = {}
        self._seen: dict[str, dict[int, tuple[Any, float, float]]] = {}  # purges of a relay, by number
        self._heads: dict[str, tuple[int, int, Lines]] = {}

    def check(self, world: World, node: Node) -> str | None:
        machine = node.machine
        if isinstance(machine, Discovery):
            self.truth.look(world, node)
            return None
        if isinstance(machine, PlainRouter):
            return self._named("mixed", self._known(machine.held.lines))
        if isinstance(machine, Router):
            return self._router(world, node, machine)
        assert isinstance(machine, RelayNode)
        return self._relay(world, node, machine)

    def _named(self, name: str, why: str | None) -> str | None:
        self.name = name if why else self.name
        return why

    def _router(self, world: World, node: Node, router: Router) -> str | None:
        self._note_taken(router.name, router.client.epochs)
        held, now = router.held, node.monotonic_ms(world.now)
        age = router.client.age_ms(now)
        return (
            self._named("mixed", self._known(held.lines))
            or self._named("backwards", self._forward(world, node, held.lines))
            or self._named("age", self._age(world, node, held.lines, held.purges, age))
            or self._named("lost", self._in_step(world, router))
        )

    def _relay(self, world: World, node: Node, machine: RelayNode) -> str | None:
        self._note_taken(machine.name, machine.client.epochs)
        relay, now = machine.relay, node.monotonic_ms(world.now)
        lines = self._lines_of(machine)
        if not relay.ready:
            return None
        purges = {purge.what: purge.when_ms for purge in relay.state.purges.by_end()}
        seen = self._seen.setdefault(relay.epoch, {})
        for purge in relay.state.purges.by_end():
            seen.setdefault(purge.number, (purge.what, purge.when_ms, purge.until))
        return (
            self._named("mixed", self._known(lines))
            or self._named("backwards", self._forward(world, node, lines))
            or self._named("age", self._age(world, node, lines, purges, relay.age_ms(now)))
            or self._named("early", self._done_early(world, node, relay))
        )

    def _lines_of(self, machine: RelayNode) -> Lines:
        number = machine.relay.state.shelves.number
        kept = self._heads.get(machine.relay.epoch)
        if kept is None or kept[0] != number:
            kept = self._heads[machine.relay.epoch] = number, 0, machine.lines
        return kept[2]

    def _note_taken(self, name: str, epochs: dict[str, int]) -> None:
        for epoch, number in epochs.items():
            self.taken[name, epoch] = max(number, self.taken.get((name, epoch), 0))

    def _known(self, lines: Lines) -> str | None:
        """A list is one that stood at discovery, never a mixture."""
        if lines and lines != self.truth.lists.get(version_of(lines)):
            return f"no list that ever stood: {json.dumps(lines)}"
        return None

    def _forward(self, world: World, node: Node, lines: Lines) -> str | None:
        """No older list is taken within a life."""
        key, version = (node.name, node.incarnation), version_of(lines)
        before = self._versions.get(key, 0)
        self._versions[key] = version
        if version >= before or world.now - self.truth.set_back_at < SET_BACK_MS:
            return None
        return f"from version {before} back to {version}"

    def _age(
        self, world: World, node: Node, lines: Lines, purges: dict[Any, float], age: float
    ) -> str | None:
        """All that had been issued at the as-of is held."""
        if not math.isfinite(age):
            return None
        as_of = world.now - age * 1.001 - HOP_MS * HOPS[node.name[0]]
        if version_of(lines) < self.truth.version_at(as_of) and not self._set_back(as_of):
            return f"list {version_of(lines)} is older than its age of {age:.0f} ms"
        for what, when, issued in reversed(self.truth.purges):
            if issued < max(world.now - self.hold_ms + SLACK_MS, self.truth.set_back_at):
                return None  # what discovery itself has lost, nobody can know
            if issued <= as_of and issued > node.state_changed_ms and purges.get(what, -math.inf) < when:
                return f"lacks the purge of {what} issued {world.now - issued:.0f} ms ago, age {age:.0f} ms"
        return None

    def _set_back(self, as_of: float) -> bool:
        return as_of - self.truth.set_back_at < SET_BACK_MS

    def _in_step(self, world: World, router: Router) -> str | None:
        """A router that has all its relay's numbers holds the relay's list and all purges that hold."""
        epoch, cursor = router.client.follower.epoch, router.client.follower.cursor
        relay = self._relay_of(world, epoch)
        if relay is None:
            return None
        for purge in relay.relay.state.purges.by_end():
            if purge.number <= cursor and router.held.purges.get(purge.what, -math.inf) < purge.when_ms:
                return f"has taken {cursor} of {epoch} but not the purge of {purge.what} under {purge.number}"
        number = relay.relay.state.shelves.number
        if router.client.epochs.get(epoch, 0) < number:
            return None
        if not router.client.settled:
            return None
        lines = self._lines_of(relay)
        if version_of(router.held.lines) < version_of(lines):
            return f"has taken {cursor} of {epoch} but not its list under {number}"
        return None

    def _relay_of(self, world: World, epoch: str) -> RelayNode | None:
        node = world.nodes.get(epoch.partition("-")[0])
        machine = node.machine if node is not None else None
        return machine if isinstance(machine, RelayNode) and machine.relay.epoch == epoch else None

    def _done_early(self, world: World, node: Node, relay: Relay) -> str | None:
        """What is done is held by all who polled here: by their numbers, and purges by what they hold."""
        key, done = (node.name, node.incarnation), relay.marks.done
        before = self._done.get(key, 0)
        self._done[key] = done
        if done <= before:
            return None
        events = [number for number, _ in relay.log.after(0) if before < number <= done]
        for router in relay.routers:
            if router.name.startswith("#"):
                continue
            taken = self.taken.get((router.name, relay.epoch), 0)
            if events and taken < events[-1]:
                return f"{done} is done, but {router.name} has taken {taken} of {events[-1]}"
            why = self._purges_held(world, node, router.name, before, done)
            why = why or self._list_held(world, node, router.name, relay, done)
            if why:
                return why
        return None

    def _list_held(self, world: World, at: Node, name: str, relay: Relay, done: int) -> str | None:
        """By those that have not started since it came."""
        machine, number = world.nodes[name].machine, relay.state.shelves.number
        if number > done or not isinstance(machine, Router) or not machine.held.lines:
            return None
        assert isinstance(at.machine, RelayNode)
        version, held = version_of(self._lines_of(at.machine)), version_of(machine.held.lines)
        if held < version and world.now - self.truth.set_back_at > SET_BACK_MS:
            return f"list {number} is done, but {name} holds version {held} and not {version}"
        return None

    def _purges_held(self, world: World, at: Node, name: str, before: int, done: int) -> str | None:
        """By those that polled here in their present life, or have been there since before it was issued."""
        node, above = world.nodes[name], at.machine
        assert isinstance(above, RelayNode)
        machine, heard = node.machine, above.lives.get(name) == node.incarnation
        for number, (what, when, until) in self._seen[above.relay.epoch].items():
            if not before < number <= done or until <= at.monotonic_ms(world.now):
                continue
            if not heard and self._issued(what, when) < node.state_changed_ms:
                continue
            if isinstance(machine, Router) and machine.held.purges.get(what, -math.inf) < when:
                return f"purge {number} is done, but {name} lacks it"
            if isinstance(machine, RelayNode):
                below = self._seen.get(machine.relay.epoch, {}).items()
                same = [n for n, (other, then, _) in below if other == what and then >= when]
                if same and min(same) > machine.relay.marks.done:
                    return f"purge {number} is done, but not at {name}"
        return None

    def _issued(self, what: Any, when: float) -> float:
        return next((at for w, t, at in reversed(self.truth.purges) if (w, t) == (what, when)), -math.inf)


def settled(world: World) -> str | None:
    """All that run hold what discovery says, and relays know it."""
    discovery = world.nodes["d"].machine
    assert isinstance(discovery, Discovery)
    for name, node in world.nodes.items():
        machine = node.machine
        if isinstance(machine, RelayNode):
            lines = machine.lines
        elif isinstance(machine, Router | PlainRouter):
            lines = machine.held.lines
        else:
            continue
        if version_of(lines) != discovery.version:
            return f"{name} holds list {version_of(lines)} and not {discovery.version}"
        if isinstance(machine, RelayNode):
            why = _unconfirmed(node, machine, world.now)
            if why:
                return why
    return None


def _unconfirmed(node: Node, machine: RelayNode, now: float) -> str | None:
    """Where all who ever polled are there, all is done; else who is missing is named."""
    relay, local = machine.relay, node.monotonic_ms(now)
    lagging = [row for row in relay.roster(local) if row.state != "cut-off"]
    behind = [row for row in lagging if row.role != "relay" or row.names == (row.name,)]
    if behind:
        return f"{behind[0].name} lags at {machine.name}"
    if relay.marks.done < relay.log.told and not relay.roster(local):
        return f"{machine.name} has {relay.marks.done} done of {relay.log.told}, and names nobody"
    return None
