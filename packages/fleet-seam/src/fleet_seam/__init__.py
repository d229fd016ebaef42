"""The seam of every sans-I/O machine of the fleet: events in, actions out.

Times are in ms on the caller's own monotonic clock (any zero will do).  A caller hands a machine each event
with the time at which it happened, and carries out the returned actions at that same time and in their order.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

Address = tuple[str, int]  # IPv4 address in dotted form, and UDP port
Draw = Callable[[], float]  # the next random number, uniform in [0, 1)


@dataclass(frozen=True, slots=True)
class Started:
    """The first event of a life."""


@dataclass(frozen=True, slots=True)
class Heard:
    """A datagram came; nothing is known of who wrote it until its tag was checked."""

    source: Address
    data: bytes


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the machine asked for is due, perhaps late."""

    token: int


@dataclass(frozen=True, slots=True)
class Leaving:
    """This process ends in order (SIGTERM): say so to the others."""


@dataclass(frozen=True, slots=True)
class Send:
    """Send a datagram; it may be lost, late, doubled or out of order."""

    to: Address
    data: bytes


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Deliver ``TimerFired(token)`` in ``in_ms`` from now.  Timers can't be revoked: a machine passes over
    those that it no longer needs."""

    in_ms: float
    token: int


@dataclass(frozen=True, slots=True)
class Told:
    """Something of note, for logs, counters and timelines; never a secret."""

    name: str
    fields: Mapping[str, str | int | float] = field(default_factory=dict)


Event = Started | Heard | TimerFired | Leaving
Action = Send | SetTimer | Told

E = TypeVar("E", contravariant=True)
A = TypeVar("A")


class Machine(Protocol[E, A]):
    """Anything driven by this seam; a package may add events and actions of its own to those above."""

    def handle(self, now: float, event: E) -> list[A]: ...
