"""The production watch client and a scripted discovery, with deadlines on a clock that the test advances."""

from __future__ import annotations

import os
from collections.abc import Callable

from twisted.internet.defer import Deferred, inlineCallbacks

from fakes.event_loop import Steps, reactor, wait_until
from fakes.fake_discovery import ScriptedDiscovery, Step
from fakes.manual_clock import ManualClock
from thornjunction import interface as api
from thornjunction.net.discovery.retry_policy import MAX_RETRY_DELAY_MS
from thornjunction.net.discovery.watch import WatchHandlers
from thornjunction.net.discovery.watch_client import WatchClient
from thornjunction.net.discovery.watch_context import WatchContext
from thornjunction.net.wire.commands import Command
from thornjunction.runtime.service import Service

# Step (ms) by which the clock advances until the next connect has begun.
CONNECT_CHECK_MS = 10.0

# Time on the core's clock (ms) at which ``chosen_server`` makes its decision.
DECISION_MS = 2e9


class WatchEnvironment(ManualClock):
    """A watch client and a scripted discovery on loopback connections.

    Attributes:
        discovery: the scripted discovery.
        watch_client: the client under test.
        received_events: the events that the client has passed to its handler.
    """

    def __init__(self) -> None:
        super().__init__()
        self.received_events: list[Command] = []
        self.discovery = ScriptedDiscovery()
        self.watch_client = self.build_watch_client(self.discovery.address)

    def build_watch_client(self, address: tuple[str, int]) -> WatchClient:
        """Replace the watch client by a new one without any state, and return it."""
        context = WatchContext(reactor, self.deadlines, lambda: self.now_ms)
        handlers = WatchHandlers(self.received_events.append)
        self.watch_client = WatchClient(context, address, handlers)
        return self.watch_client

    @inlineCallbacks
    def restart_watch(self, *script: Step) -> Steps[None]:
        """Start a new watch client with a new script, and clear the recorded events and polls."""
        yield self.close_watch()
        self.received_events.clear()
        self.discovery.polls.clear()
        self.discovery.script[:] = script
        self.build_watch_client(self.discovery.address).start()

    def wait_until_due(self, condition: Callable[[], object]) -> Deferred[None]:
        """Wait until a condition holds, and run deadlines that are due; the clock does not advance."""

        def holds() -> object:
            self.deadlines.run_due(self.now_ms)
            return condition()

        return wait_until(holds)

    @inlineCallbacks
    def wait_for_polls(self, count: int) -> Steps[None]:
        """Wait until discovery has received ``count`` polls."""
        yield wait_until(lambda: len(self.discovery.polls) >= count)

    @inlineCallbacks
    def wait_for_failures(self, count: int) -> Steps[None]:
        """Wait until ``count`` consecutive connections have failed; then advance past the backoff."""
        for failures in range(1, count + 1):
            yield wait_until(lambda failures=failures: self.watch_client.retries.failures == failures)  # type: ignore[misc]
            while not self.watch_client.is_connecting and failures < count:
                self.advance(CONNECT_CHECK_MS)
        self.advance(MAX_RETRY_DELAY_MS)

    @inlineCallbacks
    def wait_for_disconnect(self, backoff_ms: float) -> Steps[None]:
        """Wait until the connection has ended; then advance the clock by the backoff."""
        yield wait_until(lambda: self.watch_client.connection is None)
        self.advance(backoff_ms)

    @inlineCallbacks
    def close_watch(self) -> Steps[None]:
        """Stop the watch client, and wait until it has no connection."""
        self.watch_client.stop()
        if self.watch_client.connection is not None:
            self.watch_client.connection.close("test")
        yield wait_until(self._is_disconnected)

    def _is_disconnected(self) -> bool:
        return self.watch_client.connection is None and not self.watch_client.is_connecting

    @inlineCallbacks
    def stop(self) -> Steps[None]:
        """Stop the watch client and the discovery."""
        yield self.close_watch()
        yield self.discovery.stop()


def chosen_server(service: Service) -> str:
    """Return the server that the router chooses for a test request."""
    request = api.Request(os.urandom(4).hex(), "files", 7, 2000.0, size_kb=10.0)
    actions = service.router.handle(DECISION_MS, request)
    (attempt,) = [action for action in actions if isinstance(action, api.StartAttempt)]
    return attempt.server
