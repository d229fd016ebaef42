"""One router or relay that polls, and what it has acknowledged."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from control_relay.events import PollerRole

# Maximum number of names of lagging routers that are shown or reported upstream.
MAX_LAGGING_NAMES = 8

# Upper bound on the stored responses of a member; if it is reached, every other one is dropped.
MAX_UNACKNOWLEDGED_RESPONSES = 64


class UnacknowledgedResponse(NamedTuple):
    """The last event that a response contained, and the number up to which it was complete."""

    last_number: int
    complete_up_to: int


@dataclass(frozen=True, slots=True)
class LaggingSummary:
    """The number of lagging routers, and the names of some of them."""

    count: int
    names: tuple[str, ...]


@dataclass(slots=True, eq=False)
class Member:
    """A member; ``name`` is ``#`` and its connection's number if its polls state none.

    ``complete_state_number`` is the list's number in the last complete state that the member was sent: 0
    where it was sent none since it registered, None where that is unknown.
    """

    name: str
    role: PollerRole
    is_expected: bool
    last_poll_at_ms: float
    poller: int = 0
    block_ms: float = 0.0
    resume: int = 0
    complete_state_number: int | None = None
    acknowledged: int = 0
    reported_lagging_count: int = 0
    reported_lagging_names: tuple[str, ...] = ()
    unacknowledged: list[UnacknowledgedResponse] = field(default_factory=list)

    def record_response(self, last_number: int, complete_up_to: int) -> None:
        """Remember a response until the member acknowledges it."""
        if len(self.unacknowledged) >= MAX_UNACKNOWLEDGED_RESPONSES:
            # Bounds memory: what is dropped is acknowledged together with a later response.
            del self.unacknowledged[::2]
        self.unacknowledged.append(UnacknowledgedResponse(last_number, complete_up_to))

    def discard_responses_after(self, resume: int) -> None:
        """Forget responses whose last event the member does not have: it never received them."""
        while self.unacknowledged and self.unacknowledged[-1].last_number > resume:
            self.unacknowledged.pop()

    def acknowledge(self, number: int) -> int:
        """Return the number up to which the member is complete once it has the event ``number``."""
        complete_up_to = self.acknowledged
        count = 0
        for response in self.unacknowledged:
            if response.last_number > number:
                break
            complete_up_to = max(complete_up_to, response.complete_up_to)
            count += 1
        del self.unacknowledged[:count]
        return complete_up_to

    @property
    def represented_count(self) -> int:
        """The number of routers that the member stands for while it lags."""
        if self.role is PollerRole.RELAY:
            return max(1, self.reported_lagging_count)
        return 1

    @property
    def represented_names(self) -> tuple[str, ...]:
        """Names of the routers that the member stands for, as far as they are known."""
        if self.role is PollerRole.RELAY and self.reported_lagging_names:
            return self.reported_lagging_names
        return (self.name,)


def summarize_lagging(members: Iterable[Member]) -> LaggingSummary:
    """Count the routers that these members stand for, and name up to ``MAX_LAGGING_NAMES`` of them."""
    count = 0
    names: list[str] = []
    for member in members:
        count += member.represented_count
        if len(names) < MAX_LAGGING_NAMES:
            names.extend(member.represented_names)
    return LaggingSummary(count, tuple(names[:MAX_LAGGING_NAMES]))
