"""Connecting by a deadline, and listening, with the endpoints of Twisted."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import protocol
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP4ServerEndpoint

from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.event_loop.listening_port import RestingReactor
from thornjunction.net.event_loop.single_connect import SingleConnectReactor

OWN_TIMER = 3600  # seconds: our deadline ends a dial long before Twisted's would


class BuildFactory(protocol.Factory):
    """A factory that builds each connection's protocol by a function."""

    noisy = False

    def __init__(self, build: Callable[[], protocol.Protocol]) -> None:
        self.build = build

    def buildProtocol(self, addr: object) -> protocol.Protocol:  # noqa: N802
        return self.build()


def connect_by_deadline(
    reactor: Any,
    address: tuple[str, int],
    build: Callable[[], protocol.Protocol],
    deadlines: Deadlines,
    until: float,
) -> Deferred[Any]:
    """Connect, or fail at that time."""
    endpoint: Any = TCP4ClientEndpoint(SingleConnectReactor(reactor), *address, timeout=OWN_TIMER)
    connecting: Deferred[Any] = endpoint.connect(BuildFactory(build))
    timer = deadlines.add(until, connecting.cancel)

    def over(result: Any) -> Any:
        deadlines.cancel(timer)
        return result

    return connecting.addBoth(over)


def server_endpoint(reactor: Any, address: tuple[str, int]) -> Any:
    """Where a front listens; port 0 takes any free one."""
    build: Any = TCP4ServerEndpoint
    return build(RestingReactor(reactor), address[1], backlog=1024, interface=address[0])
