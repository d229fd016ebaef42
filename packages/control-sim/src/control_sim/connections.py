"""Polls and replies on connections between simulated processes.

The network model of ``fleet_sim`` is made for datagrams; here its decisions apply to TCP streams.  A message
that the model loses arrives late, because TCP retransmits it; a reply that it duplicates is truncated; a
message on a cut link is dropped, and its sender gets no error.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from control_relay import PollRequest
from fleet_sim import EntryKind, Node, ProcessState, SimulatedCluster

# Delay of a message that the network model loses and TCP retransmits.
RETRANSMISSION_MS = 300.0

# Bits of a connection's number for the incarnation of its process, and also for the count of its connections.
INCARNATION_BITS = 20


@dataclass(frozen=True, slots=True)
class SendRequest:
    """Action: poll a process on a connection, which is opened if it is new."""

    to: str
    connection: int
    request: PollRequest


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Action: close a connection."""

    to: str
    connection: int


@dataclass(frozen=True, slots=True)
class SendReply:
    """Action: answer the poll on a connection; the status is 503 if there is no body."""

    to: str
    connection: int
    body: bytes | None


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A poll arrived on a connection from the process ``source``."""

    source: str
    connection: int
    request: PollRequest


@dataclass(frozen=True, slots=True)
class ConnectionClosed:
    """The poller has closed a connection."""

    connection: int


@dataclass(frozen=True, slots=True)
class ReplyReceived:
    """A reply arrived, which may be truncated; its status is 503 if there is no body."""

    connection: int
    body: bytes | None
    is_truncated: bool


@dataclass(frozen=True, slots=True)
class ConnectionFailed:
    """A connection was refused because the target process is down."""

    connection: int


class _Transmission(NamedTuple):
    delay_ms: float
    is_duplicated: bool


def first_connection(node_index: int, incarnation: int) -> int:
    """Return the number from which a process counts its connections; it encodes node and incarnation."""
    return (node_index << INCARNATION_BITS | incarnation) << INCARNATION_BITS


def incarnation_of(connection: int) -> int:
    """Return the incarnation of the process that opened a connection."""
    return connection >> INCARNATION_BITS & (1 << INCARNATION_BITS) - 1


def deliver_request(cluster: SimulatedCluster, node: Node, action: SendRequest) -> None:
    """Deliver a poll; if the target process is down, the poller gets ``ConnectionFailed``."""
    target = cluster.nodes[action.to]

    def arrive() -> None:
        if target.state is ProcessState.DOWN:
            _deliver_later(cluster, target, node, ConnectionFailed(action.connection))
        else:
            cluster.deliver(target, RequestReceived(node.name, action.connection, action.request))

    transmission = _transmit(cluster, node, target)
    if transmission is not None:
        _schedule(cluster, transmission, arrive)


def deliver_close(cluster: SimulatedCluster, node: Node, action: CloseConnection) -> None:
    """Tell the polled process that the poller has closed a connection."""
    _deliver_later(cluster, node, cluster.nodes[action.to], ConnectionClosed(action.connection))


def deliver_reply(cluster: SimulatedCluster, node: Node, action: SendReply) -> None:
    """Deliver a reply, truncated if the network model duplicates it."""
    target = cluster.nodes[action.to]
    transmission = _transmit(cluster, node, target)
    if transmission is None:
        return
    is_truncated = transmission.is_duplicated and action.body is not None
    reply = ReplyReceived(action.connection, action.body, is_truncated)
    _schedule(cluster, transmission, lambda: cluster.deliver(target, reply))
    if is_truncated:
        cluster.record(EntryKind.LOST, "reply truncated", node.name, target.name)


def _deliver_later(cluster: SimulatedCluster, source: Node, target: Node, event: object) -> None:
    transmission = _transmit(cluster, source, target)
    if transmission is not None:
        _schedule(cluster, transmission, lambda: cluster.deliver(target, event))


def _transmit(cluster: SimulatedCluster, source: Node, target: Node) -> _Transmission | None:
    """Return the delay and the duplication that the network model draws; None on a cut link."""
    link = (source.name, target.name)
    if cluster.network.is_cut(link):
        return None
    delays_ms = cluster.network.delivery_delays_ms(link, source.random)
    delay_ms = delays_ms[0] if delays_ms else RETRANSMISSION_MS
    return _Transmission(delay_ms, is_duplicated=len(delays_ms) > 1)


def _schedule(cluster: SimulatedCluster, transmission: _Transmission, arrive: Callable[[], None]) -> None:
    cluster.schedule(cluster.now + transmission.delay_ms, arrive)


# The function that carries out each action of this module, by the action's type.
ACTION_HANDLERS: dict[type, Callable[[SimulatedCluster, Node, Any], None]] = {
    SendRequest: deliver_request,
    CloseConnection: deliver_close,
    SendReply: deliver_reply,
}
