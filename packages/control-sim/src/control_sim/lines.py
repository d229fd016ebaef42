"""Polls and answers between simulated processes.

The network of ``fleet_sim`` is one of datagrams; here it decides what becomes of a stream: what it loses
comes late, as TCP sends it again; what it doubles is an answer that is cut off in the middle; a cut link is
silent."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from fleet_sim import EntryKind, Node, ProcessState
from fleet_sim import SimulatedCluster as World

AGAIN_MS = 300.0  # until TCP sends again


@dataclass(frozen=True, slots=True)
class Poll:
    resume: int
    block_ms: float
    epoch: str = ""
    role: str = "router"
    name: str = ""
    done: int = 0
    behind: int = 0
    names: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """Action: poll a process on a connection."""

    to: str
    connection: int
    poll: Poll


@dataclass(frozen=True, slots=True)
class Hangup:
    """Action: end a connection."""

    to: str
    connection: int


@dataclass(frozen=True, slots=True)
class Reply:
    """Action: answer what came on a connection; ``body`` None: 503."""

    to: str
    connection: int
    body: bytes | None


@dataclass(frozen=True, slots=True)
class Asked:
    source: str
    connection: int
    poll: Poll


@dataclass(frozen=True, slots=True)
class HungUp:
    connection: int


@dataclass(frozen=True, slots=True)
class Replied:
    """``cut``: the connection ended in the middle of the body."""

    connection: int
    body: bytes | None
    cut: bool


@dataclass(frozen=True, slots=True)
class Broken:
    """The connection was refused or reset."""

    connection: int


def carry_request(world: World, node: Node, action: Request) -> None:
    target = world.nodes[action.to]

    def arrive() -> None:
        if target.state is ProcessState.DOWN:
            _send(world, target, node, Broken(action.connection))
        else:
            world.deliver(target, Asked(node.name, action.connection, action.poll))

    _later(world, node, target, arrive)


def carry_hangup(world: World, node: Node, action: Hangup) -> None:
    _send(world, node, world.nodes[action.to], HungUp(action.connection))


def carry_reply(world: World, node: Node, action: Reply) -> None:
    target = world.nodes[action.to]

    def arrive() -> None:
        world.deliver(target, Replied(action.connection, action.body, bool(cut)))

    cut: list[bool] = []
    if _later(world, node, target, arrive) and action.body is not None:
        cut.append(True)
        world.record(EntryKind.LOST, "answer cut", node.name, target.name)


def _send(world: World, node: Node, target: Node, event: object) -> None:
    _later(world, node, target, lambda: world.deliver(target, event))


def _later(world: World, node: Node, target: Node, act: Callable[[], None]) -> bool:
    """Do it when the bytes arrive, if they do; whether the network doubled them."""
    link = (node.name, target.name)
    if world.network.is_cut(link):
        return False
    delays = world.network.delivery_delays_ms(link, node.random)
    world.schedule(world.now + (delays[0] if delays else AGAIN_MS), act)
    return len(delays) > 1


CARRY: dict[type, Callable[[World, Node, Any], None]] = {
    Request: carry_request,
    Hangup: carry_hangup,
    Reply: carry_reply,
}
