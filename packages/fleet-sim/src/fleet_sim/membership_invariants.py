"""What must be true of members and shares: at every step, and once faults have ended."""

from __future__ import annotations

from collections import Counter
from typing import cast

from fleet_membership import MembershipView
from gossip_codec import MemberState
from sansio_core import Notice

from .cluster import World
from .node import Node
from .reachability import Reach, steady_ms
from .simulated_router import GONE, Router

STEADY_MS = 5_000.0  # both run and reach each other for so long: a verdict of failure is false
CALM_MS = 15_000.0  # and all that run reach the member for so long: it is a violation as well
SIDE_MS = 12_000.0  # by then a side without most voters must know it
EPSILON = 1e-9


def view_of(world: World, node: Node) -> MembershipView | None:
    """The node's view now, or None where it is down."""
    return None if node.machine is None else router_of(node).member.view(node.local(world.now))


def router_of(node: Node) -> Router:
    return cast(Router, node.machine)


class Ordered:
    """Within a life: versions and each member's incarnation never go back, `since_ms` follows `majority`."""

    name = "ordered"

    def __init__(self) -> None:
        self._last: dict[tuple[str, int], MembershipView] = {}

    def check(self, world: World, node: Node) -> str | None:
        view = view_of(world, node)
        life = (node.name, node.incarnation)
        last = self._last.get(life)
        if view is None or view is last:
            return None
        self._last[life] = view
        return None if last is None else _went_back(last, view)


def _went_back(last: MembershipView, view: MembershipView) -> str | None:
    if view.version < last.version:
        return f"version {last.version} went back to {view.version}"
    if (view.majority_since_ms != last.majority_since_ms) < (view.has_majority is not last.has_majority):
        return f"majority turned to {view.has_majority} and since_ms stayed {view.majority_since_ms}"
    for name, member in view.members.items():
        before = last.members.get(name)
        if before and member.incarnation < before.incarnation:
            return f"incarnation of {name} went back from {before.incarnation} to {member.incarnation}"
    return None


class Sides:
    """Who had no majority of the voters in reach for SIDE_MS does not hold it: so one side at most does."""

    name = "sides"

    def __init__(self, voters: tuple[str, ...]) -> None:
        self._voters = frozenset(voters)
        self._reach = Reach()
        self._topology = -1
        self._minor_since: dict[str, float] = {}

    def check(self, world: World, node: Node) -> str | None:
        if world.topology != self._topology:
            self._topology = world.topology
            self._look(world)
        since = self._minor_since.get(node.name)
        if since is None or world.now - since < SIDE_MS:
            return None
        view = view_of(world, node)
        if view is None or not view.has_majority:
            return None
        group = " ".join(sorted(self._reach.group(world, node.name)))
        return f"majority held, but only {group} in reach for {world.now - since:.0f} ms"

    def _look(self, world: World) -> None:
        for name in world.nodes:
            group = self._reach.group(world, name)
            if not group or 2 * len(group & self._voters) > len(self._voters):
                self._minor_since.pop(name, None)
            else:
                self._minor_since.setdefault(name, world.now)


class FalseVerdicts:
    """No verdict of failure about a member that all who run have reached for CALM_MS, on quiet links.

    `count` counts all verdicts, and those about members that their judge has reached for STEADY_MS,
    whatever noise or lag there is.
    """

    name = "false verdict"

    def __init__(self) -> None:
        self._read = 0

    def check(self, world: World, node: Node) -> str | None:
        fresh, self._read = world.log[self._read :], len(world.log)
        for entry in fresh:
            word = entry.text.split(" ")
            if word[0] == "member" and word[2] == "failed" and word[1] in world.nodes:
                other = world.nodes[word[1]]
                if not world.network.noisy and not other.late and _reached_by_all(world, other):
                    return f"{word[1]} failed, and all reach it"
        return None

    @staticmethod
    def count(world: World, counts: Counter[str]) -> None:
        def listen(node: Node, told: Notice) -> None:
            if told.name == "member" and told.fields["state"] == "failed":
                counts["failed"] += 1
                other = world.nodes.get(str(told.fields["name"]))
                if other and steady_ms(world, node, other) >= STEADY_MS:
                    counts["failed in steady reach"] += 1
            elif told.name == "refused":
                counts[f"refused {told.fields['why']}"] += 1

        world.listeners.append(listen)


def _reached_by_all(world: World, node: Node) -> bool:
    others = [other for other in world.nodes.values() if other.running and other is not node]
    return all(steady_ms(world, other, node) >= CALM_MS for other in others)


class SharesFit:
    """The shares of all processes that exist never add up to more than one; a paused one's are held still."""

    name = "shares"

    def check(self, world: World, node: Node) -> str | None:
        total = 0.0
        for other in world.nodes.values():
            if other.machine is not None:
                total += router_of(other).share(other.local(world.now))
        return f"shares add up to {total:.9f}" if total > 1 + EPSILON else None


def settled(world: World, voters: tuple[str, ...], foreign: frozenset[str]) -> str | None:
    """What is wrong in the first view that does not show what runs, with its incarnations and majority."""
    fleet = [node for node in world.nodes.values() if node.name not in foreign]
    most = 2 * sum(node.running for node in fleet if node.name in voters) > len(voters)
    views = [(node, view) for node in fleet if node.running and (view := view_of(world, node))]
    known = {node.name: view.members[node.name].incarnation for node, view in views}
    for node, view in views:
        if view.has_majority is not most:
            return f"{node.name}: majority is {view.has_majority}"
        if strange := foreign & view.members.keys():
            return f"{node.name}: knows {' '.join(sorted(strange))} of another fleet"
        for other in fleet:
            seen = view.members.get(other.name)
            if other.running and (seen is None or seen.state is not MemberState.ALIVE):
                return f"{node.name}: {other.name} runs and is {seen.state.name if seen else 'unknown'}"
            if other.running and seen and seen.incarnation != known[other.name]:
                return f"{node.name}: {other.name} is held as incarnation {seen.incarnation}"
            if not other.running and seen and seen.state not in GONE:
                return f"{node.name}: {other.name} is gone and is {seen.state.name}"
    return None
