"""Who can reach whom: links that are not cut between processes that run."""

from __future__ import annotations

from .cluster import World
from .node import Node


class Reach:
    """Cached until the topology changes; one for each run."""

    def __init__(self) -> None:
        self._topology = -1
        self._groups: dict[str, frozenset[str]] = {}

    def group(self, world: World, name: str) -> frozenset[str]:
        """The running nodes with a way to `name` and back, itself among them; empty if it doesn't run.

        Ways may lead over other running nodes: a strongly connected component.
        """
        if world.topology != self._topology:
            self._topology = world.topology
            self._groups = _components(world)
        return self._groups.get(name, frozenset())


def steady_ms(world: World, one: Node, other: Node) -> float:
    """Since how many ms both run and the two links between them carry; 0 if that is not so now."""
    if not (one.running and other.running):
        return 0.0
    there, back = (one.name, other.name), (other.name, one.name)
    if world.network.is_cut(there) or world.network.is_cut(back):
        return 0.0
    changes = (world.link_since.get(there, 0.0), world.link_since.get(back, 0.0), one.since, other.since)
    return world.now - max(changes)


def _components(world: World) -> dict[str, frozenset[str]]:
    running = [name for name, node in world.nodes.items() if node.running]
    reached = {name: _reached(world, name, running) for name in running}
    return {name: frozenset(other for other in reached[name] if name in reached[other]) for name in running}


def _reached(world: World, start: str, running: list[str]) -> set[str]:
    seen, todo = {start}, [start]
    while todo:
        at = todo.pop()
        for name in running:
            if name not in seen and not world.network.is_cut((at, name)):
                seen.add(name)
                todo.append(name)
    return seen
