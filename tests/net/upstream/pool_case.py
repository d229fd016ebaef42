"""A test case with a connection pool on loopback sockets, and builders for attempts and limits."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from fakes.loopback_environment import FakeCacheServerConnection, LoopbackEnvironment
from twisted.internet import reactor, tcp
from twisted.internet.defer import inlineCallbacks
from twisted.trial.unittest import TestCase

from tests.loopback import make_loopback_environment
from thornjunction import interface as api
from thornjunction.core.ports import ClientRequest, Content, UpstreamRequest
from thornjunction.net.upstream.connection_pool import ConnectionPool

# Timeout of each attempt, longer than all waits of these tests, so that another limit has to end them.
LONG_TIMEOUT_MS = 30_000.0

# A start limit with which the attempt may start at any time.
NO_START_LIMIT_MS = 9e9


def attempt(
    number: int,
    *,
    server: str = "edge1",
    transaction_id: str = "",
    timeout_ms: float = LONG_TIMEOUT_MS,
    start_within_ms: float = NO_START_LIMIT_MS,
    body: bytes = b"",
) -> UpstreamRequest:
    """Return an attempt; its transaction id is ``t`` followed by its number if none is given."""
    client_request = ClientRequest(
        transaction_id or f"t{number}", "films", "00000000000000ff", timeout_ms, body=body
    )
    fetch = api.StartAttempt("r", server, timeout_ms, "origin", start_within_ms=start_within_ms)
    return UpstreamRequest(number, client_request, fetch)


def connects_in_progress() -> list[tcp.Client]:
    """Return the transports of connects that are not established yet."""
    return [writer for writer in reactor.getWriters() if isinstance(writer, tcp.Client)]


class PoolTestCase(TestCase):
    """A pool that reports to ``outcomes``, in pairs of an attempt's number and its status."""

    timeout = 30

    def setUp(self) -> None:
        self.environment: LoopbackEnvironment = make_loopback_environment()
        self.addCleanup(self.environment.stop)
        self.outcomes: list[tuple[int, api.AttemptStatus]] = []
        self.pool.report_to(self)

    @property
    def pool(self) -> ConnectionPool:
        return self.environment.pool

    def attempt_ended(
        self,
        number: int,
        status: api.AttemptStatus,
        content: Content | None = None,
        report: api.LoadReport | None = None,
    ) -> None:
        self.outcomes.append((number, status))

    def set_limits(self, **changes: Any) -> None:
        """Change the pool's limits."""
        self.pool.context.limits = replace(self.pool.context.limits, **changes)

    def send(self, number: int, **details: Any) -> None:
        """Send an attempt; ``details`` are arguments of ``attempt``."""
        self.pool.send(attempt(number, **details))

    @inlineCallbacks
    def send_unanswered(self, number: int, **details: Any) -> Any:
        """Send an attempt that its server receives but does not answer; return the server's connection."""
        self.environment.script = [None]
        received = self.environment.next_request()
        self.send(number, **details)
        yield received
        server_connection: FakeCacheServerConnection = self.environment.received_requests[-1][0]
        return server_connection

    @inlineCallbacks
    def wait_for_outcomes(self, count: int = 1) -> Any:
        """Run the reactor until ``count`` outcomes were reported."""
        yield self.environment.wait_until(lambda: len(self.outcomes) >= count)

    def received_transaction_ids(self) -> list[bytes]:
        """Return the transaction ids of all attempts that servers received."""
        return [command.request_id for command in self.environment.forwarded_requests()]
