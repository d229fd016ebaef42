"""Helpers to connect by a deadline and to listen, using Twisted's endpoints."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from twisted.internet import protocol
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP4ServerEndpoint

from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.event_loop.listening_port import PausingPortReactor
from thornjunction.net.event_loop.ports import Reactor, ServerEndpoint
from thornjunction.net.event_loop.single_connect import SingleConnectReactor

# Seconds until Twisted itself would give up a connect; the caller's deadline ends it long before.
ENDPOINT_TIMEOUT_S = 3600

# Connections that the system queues until this process accepts them.
LISTEN_BACKLOG = 1024

ResultT = TypeVar("ResultT")


class BuildFactory(protocol.Factory):
    """A factory that calls ``build`` to create the protocol of each connection."""

    noisy = False

    def __init__(self, build: Callable[[], protocol.Protocol]) -> None:
        self.build = build

    def buildProtocol(self, addr: object) -> protocol.Protocol:  # noqa: ARG002, N802
        """Return a protocol for a new connection (called by Twisted)."""
        return self.build()


def connect_by_deadline(
    reactor: Reactor,
    address: tuple[str, int],
    build: Callable[[], protocol.Protocol],
    deadlines: Deadlines,
    until_ms: float,
) -> Deferred[Any]:
    """Connect, or fail at ``until_ms`` of the core's clock; the result is the protocol that was built."""
    endpoint: Any = TCP4ClientEndpoint(SingleConnectReactor(reactor), *address, timeout=ENDPOINT_TIMEOUT_S)
    connecting: Deferred[Any] = endpoint.connect(BuildFactory(build))
    deadline = deadlines.add(until_ms, connecting.cancel)

    def cancel_deadline(result: ResultT) -> ResultT:
        deadlines.cancel(deadline)
        return result

    return connecting.addBoth(cancel_deadline)


def server_endpoint(reactor: Reactor, address: tuple[str, int]) -> ServerEndpoint:
    """Return an endpoint that listens on an address; port 0 selects any free port."""
    host, port = address
    build_endpoint: Any = TCP4ServerEndpoint
    endpoint: ServerEndpoint = build_endpoint(
        PausingPortReactor(reactor), port, backlog=LISTEN_BACKLOG, interface=host
    )
    return endpoint
