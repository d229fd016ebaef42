"""Events and actions shared by every sans-I/O state machine of the fleet and control packages.

Times are milliseconds on the caller's monotonic clock, whose zero is arbitrary.  The caller passes each event
to the state machine together with the time at which it occurred, and carries out the returned actions at that
time, in order.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

# IPv4 address in dotted form, and port.
Address = tuple[str, int]

# Maximum size of a datagram: no network fragments it, and a reply to a forged sender amplifies nothing.
MAX_DATAGRAM_BYTES = 256

# Returns the next random number, uniform in [0, 1).
RandomSource = Callable[[], float]


@dataclass(frozen=True, slots=True)
class Started:
    """The first event that a state machine receives."""


@dataclass(frozen=True, slots=True)
class DatagramReceived:
    """A datagram arrived; its sender is unknown until its authentication tag has been verified."""

    source: Address
    data: bytes


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer requested by ``SetTimer`` is due; it may fire late."""

    token: int


@dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """The process is shutting down gracefully (SIGTERM); the state machine announces it to its peers."""


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send a datagram, which may be lost, delayed, duplicated or reordered."""

    to: Address
    data: bytes


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver ``TimerFired(token)`` after ``in_ms``.

    Timers cannot be cancelled: a state machine ignores those that it no longer needs.
    """

    in_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Notice:
    """A named occurrence for logs, counters and traces; its fields never contain secrets."""

    name: str
    fields: Mapping[str, str | int | float] = field(default_factory=dict)


Event = Started | DatagramReceived | TimerFired | ShutdownRequested
Action = SendDatagram | SetTimer | Notice

EventT = TypeVar("EventT", contravariant=True)
ActionT = TypeVar("ActionT")


class StateMachine(Protocol[EventT, ActionT]):
    """A component driven by events; packages may define further event and action types."""

    def handle(self, now: float, event: EventT) -> list[ActionT]:
        """Process one event that occurred at ``now`` (ms); return the actions to carry out, in order."""
        ...
