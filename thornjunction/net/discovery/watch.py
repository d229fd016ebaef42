"""Base class of watches: one connection at a time, its state, and the counts of failures."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from thornjunction.net.discovery.retry_policy import RetryPolicy
from thornjunction.net.discovery.watch_connection import WatchConnection
from thornjunction.net.discovery.watch_context import WatchContext, WatchTimings
from thornjunction.net.event_loop.disconnect_reasons import DisconnectReason
from thornjunction.net.event_loop.transport import connect_by_deadline
from thornjunction.net.wire import http1
from thornjunction.net.wire.commands import Address, Command, Commands


class WatchState(Enum):
    """State of a watch; an established connection has a ``ConnectionState`` of its own."""

    WAITING = "waiting"
    """There is no connection: the watch was not started, or waits for its retry delay."""

    CONNECTING = "connecting"
    """An attempt to connect is in progress."""

    CONNECTED = "connected"
    """A connection is established, and polls or resynchronizes."""

    STOPPED = "stopped"
    """No further connection is made; an established one stays open until the process ends."""


def _ignore() -> None:
    """Do nothing."""


def _ignore_confirmation(_age_ms: float, _cursor: int) -> None:
    """Do nothing."""


@dataclass(frozen=True, slots=True)
class WatchHandlers:
    """Callbacks of a watch.

    Attributes:
        handle_command: called with each event once, in order.
        on_synchronized: called once, when all events that discovery had at the start were delivered.
        on_epoch: called when event numbers restart, before the first event of the new epoch.
        on_confirmed: called when a response has completed the state of its source, with the age of the state
            in ms and the number of its last event.
    """

    handle_command: Callable[[Command], None]
    on_synchronized: Callable[[], None] = _ignore
    on_epoch: Callable[[], None] = _ignore
    on_confirmed: Callable[[float, int], None] = _ignore_confirmation


class Watch(ABC):
    """Maintains one connection to a source of events, and polls the source on it.

    Attributes:
        address: address of the source that is polled or will be polled.
        state: whether there is a connection.
        connection: the established connection; None if there is none.
        is_synchronized: whether all events that discovery had at the start were delivered.
        retries: counts of consecutive failures.
    """

    def __init__(
        self, context: WatchContext, address: Address, timings: WatchTimings, handlers: WatchHandlers
    ) -> None:
        self.address = address
        self.timings = timings
        self.state = WatchState.WAITING
        self.connection: WatchConnection | None = None
        self.is_synchronized = False
        self.retries = RetryPolicy()
        self._context = context
        self._handlers = handlers
        self._connecting: Deferred[Any] | None = None

    @abstractmethod
    def start(self) -> None:
        """Start polling, if no source is polled."""

    @abstractmethod
    def change_address(self, address: Address) -> None:
        """Apply a new address from the configuration."""

    @abstractmethod
    def replay(self, known: Commands) -> None:
        """Deliver the events that are known at the start; the watch resumes after them."""

    @abstractmethod
    def metrics(self) -> dict[str, int]:
        """Values of the watch's metrics by name."""

    @abstractmethod
    def poll_target(self, block_ms: float) -> str:
        """Begin a poll that the source may hold for ``block_ms``, and return its path and query."""

    @property
    @abstractmethod
    def needs_immediate_response(self) -> bool:
        """Whether the first poll of a connection asks for an immediate response."""

    @property
    @abstractmethod
    def has_no_progress(self) -> bool:
        """Whether no new event was received since the last poll was sent."""

    @abstractmethod
    def handle_response_awaited(self) -> None:
        """Called when a poll was sent, or a part of its response was received."""

    @abstractmethod
    def handle_response(self, commands: Commands, is_stable: bool) -> None:
        """Apply a complete response; the events of a long one were applied in parts before."""

    @abstractmethod
    def apply_part(self, head: Commands | None, events: list[Any]) -> Commands:
        """Apply complete events of a long response, and return the new ones."""

    @abstractmethod
    def _resume(self, is_stable: bool, reason: str, polls: int) -> None:
        """Continue after a connection has ended, or an attempt to connect has failed."""

    @property
    def is_connecting(self) -> bool:
        """Whether an attempt to connect is in progress, also after ``stop``."""
        return self._connecting is not None

    def stop(self) -> None:
        """Make no further connections; an established one stays open until the process ends."""
        self.state = WatchState.STOPPED

    def cancel_connecting(self) -> None:
        """Cancel the attempt to connect that is in progress, if any."""
        if self._connecting is not None:
            self._connecting.cancel()

    def encode_poll(self, block_ms: float) -> bytes:
        """Return the request of the next poll, which the source may hold for ``block_ms``."""
        return http1.encode_get(self.poll_target(block_ms), f"{self.address[0]}:{self.address[1]}")

    def response_grace_ms(self) -> float:
        """Additional time for the response, or for the next part of it, to arrive."""
        return self.retries.response_grace_ms(self.timings.response_grace_ms)

    def retry_delay_ms(self, attempts: int) -> float:
        """Pause before the next poll, after this number of consecutive polls without an event."""
        return self.retries.retry_delay_ms(attempts)

    def record_response_end(self, discarded_bytes: int, is_useful: bool) -> None:
        """Record the end of a response, complete or not."""
        self.retries.record_response_end(discarded_bytes, is_useful)

    def handle_response_timeout(self) -> None:
        """Count a timeout of the response or of its next part."""
        self.retries.response_timeouts += 1

    def handle_connected(self, connection: WatchConnection) -> None:
        """Record that the connection is established."""
        self.connection = connection
        self._enter(WatchState.CONNECTED)

    def handle_disconnect(self, is_stable: bool, reason: str, polls: int) -> None:
        """Continue after the connection has ended; ``polls`` is its number of answered polls."""
        self.connection = None
        self._enter(WatchState.WAITING)
        self._resume(is_stable, reason, polls)

    def _connect(self) -> None:
        """Start an attempt to connect, unless the watch is connecting, connected or stopped."""
        if self.state is not WatchState.WAITING:
            return
        self._enter(WatchState.CONNECTING)
        context = self._context
        deadline_ms = context.clock() + self.retries.connect_timeout_ms()
        connecting = connect_by_deadline(
            context.reactor, self.address, self._build_connection, context.deadlines, deadline_ms
        )

        def handle_success(_: object) -> None:
            self._connecting = None
            self.retries.connect_timeouts = 0

        def handle_failure(_: Failure) -> None:
            self._connecting = None
            has_timed_out = context.clock() >= deadline_ms
            self.retries.connect_timeouts = self.retries.connect_timeouts + 1 if has_timed_out else 0
            self.handle_disconnect(False, DisconnectReason.CONNECT_FAILED, 0)

        self._connecting = connecting
        connecting.addCallbacks(handle_success, handle_failure)

    def _build_connection(self) -> WatchConnection:
        return WatchConnection(self, self._context, self.timings)

    def _synchronize(self) -> None:
        """Report that all events that discovery had at the start were delivered, on the first call only."""
        if not self.is_synchronized:
            self.is_synchronized = True
            self._handlers.on_synchronized()

    def _enter(self, state: WatchState) -> None:
        if self.state is not WatchState.STOPPED:
            self.state = state
