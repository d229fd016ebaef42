"""What all watches share: one connection at a time, its state, and the counts of what failed."""

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
    """State of a watch; what a connection that is up does is its ``ConnectionState``."""

    WAITING = "waiting"
    """There is no connection: the watch was not started, or its retry delay runs."""

    CONNECTING = "connecting"
    """A connection was begun."""

    CONNECTED = "connected"
    """A connection is up, and polls or resynchronizes."""

    STOPPED = "stopped"
    """No further connection is made; one that is up goes on until the process ends."""


def _ignore() -> None:
    """Do nothing."""


def _ignore_confirmation(_age_ms: float, _cursor: int) -> None:
    """Do nothing."""


@dataclass(frozen=True, slots=True)
class WatchHandlers:
    """What a watch calls.

    Attributes:
        handle_command: takes in an event; each is passed on once, in order.
        on_synchronized: called once, when all that discovery held at the start has been passed on.
        on_epoch: called where events are numbered anew, before one of them is passed on.
        on_confirmed: called when a response has brought all that its source has, with the age of the state
            in ms and the number of its last event.
    """

    handle_command: Callable[[Command], None]
    on_synchronized: Callable[[], None] = _ignore
    on_epoch: Callable[[], None] = _ignore
    on_confirmed: Callable[[float, int], None] = _ignore_confirmation


class Watch(ABC):
    """Keeps one connection to a source of events, which polls it.

    Attributes:
        address: the source that is polled, or will be.
        state: whether there is a connection.
        connection: the connection that is up.
        is_synchronized: whether all that discovery held at the start has been passed on.
        retries: counts of what failed in a row.
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
        """Begin to poll, where nothing is polled."""

    @abstractmethod
    def change_address(self, address: Address) -> None:
        """Take the configuration's new address for the watch."""

    @abstractmethod
    def replay(self, known: Commands) -> None:
        """Take in the events that are known at the start; the watch resumes after them."""

    @abstractmethod
    def metrics(self) -> dict[str, int]:
        """Metrics of the watch for the operators, by name."""

    @abstractmethod
    def poll_target(self, block_ms: float) -> str:
        """Begin a poll that the source may hold for so long, and return its path and query."""

    @property
    @abstractmethod
    def needs_immediate_response(self) -> bool:
        """Whether the first poll of a connection asks for an immediate response."""

    @property
    @abstractmethod
    def has_no_progress(self) -> bool:
        """Whether no new event has come since the last poll."""

    @abstractmethod
    def handle_response_awaited(self) -> None:
        """A poll was sent, or a part of its response has come."""

    @abstractmethod
    def handle_response(self, commands: Commands, is_stable: bool) -> None:
        """A response is complete; the events of a long one have been applied."""

    @abstractmethod
    def apply_part(self, head: Commands | None, events: list[Any]) -> Commands:
        """Apply complete events of a long response, and return those that were new."""

    @abstractmethod
    def _resume(self, is_stable: bool, reason: str, polls: int) -> None:
        """Go on after a connection, or an attempt to connect, has ended."""

    @property
    def is_connecting(self) -> bool:
        """Whether an attempt to connect is under way, also after ``stop``."""
        return self._connecting is not None

    def stop(self) -> None:
        """Make no further connection; the one that is up goes on until the process ends."""
        self.state = WatchState.STOPPED

    def cancel_connecting(self) -> None:
        """Give up the attempt to connect that is under way."""
        if self._connecting is not None:
            self._connecting.cancel()

    def encode_poll(self, block_ms: float) -> bytes:
        """Return the request of the next poll, which the source may hold for so long."""
        return http1.encode_get(self.poll_target(block_ms), f"{self.address[0]}:{self.address[1]}")

    def response_grace_ms(self) -> float:
        """How much later than asked the response, or the next part of it, may come."""
        return self.retries.response_grace_ms(self.timings.response_grace_ms)

    def retry_delay_ms(self, attempts: int) -> float:
        """Pause before the next poll, after so many in a row without an event."""
        return self.retries.retry_delay_ms(attempts)

    def record_response_end(self, discarded_bytes: int, is_useful: bool) -> None:
        """Count the end of a response, complete or not."""
        self.retries.record_response_end(discarded_bytes, is_useful)

    def handle_response_timeout(self) -> None:
        """The response, or its next part, did not come in time."""
        self.retries.response_timeouts += 1

    def handle_connected(self, connection: WatchConnection) -> None:
        """The connection is up."""
        self.connection = connection
        self._enter(WatchState.CONNECTED)

    def handle_disconnect(self, is_stable: bool, reason: str, polls: int) -> None:
        """The connection has ended, after so many polls that were answered."""
        self.connection = None
        self._enter(WatchState.WAITING)
        self._resume(is_stable, reason, polls)

    def _connect(self) -> None:
        """Connect, unless the watch does or has, or was stopped."""
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
        """All that discovery held at the start has been passed on; only the first call counts."""
        if not self.is_synchronized:
            self.is_synchronized = True
            self._handlers.on_synchronized()

    def _enter(self, state: WatchState) -> None:
        if self.state is not WatchState.STOPPED:
            self.state = state
