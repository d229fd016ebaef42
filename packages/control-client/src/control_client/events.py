"""Events and actions of ``SourceSelector``, and the state that ``StateFollower`` accepts.

Times are milliseconds on the caller's monotonic clock unless a name contains ``unix``.  A source is a relay
or discovery that can be polled.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import Any

from sansio_core import Address, Notice, SetTimer, Started, TimerFired


class SwitchReason(StrEnum):
    """Why the selector switched; the values appear in the log.

    After a ``PollFailed`` its ``reason`` is logged instead.
    """

    STARTED = "start"
    RETRY = "again"
    TIMEOUT = "silent"
    DEGRADED = "behind"
    RECOVERED = "back"


class SelectorState(Enum):
    """Whether a selector polls a source, and the state of that source."""

    # No source is polled: all that may be polled have failed and wait for their retry.
    SEARCHING = "searching"
    # The polled source answers with a state that is fresh enough.
    HEALTHY = "healthy"
    # The polled source's state is too old, or older than the list that the follower keeps.
    DEGRADED = "degraded"


@dataclass(frozen=True, slots=True)
class PollSent:
    """A poll was sent to the selected source; ``PollAnswered`` or ``PollFailed`` follows."""

    source: Address


@dataclass(frozen=True, slots=True)
class PollAnswered:
    """A poll was answered.

    ``age_ms`` is the age that the response states, 0 from a plain discovery.  ``is_stale`` means that the
    follower keeps its list because the source's is older (``SyncStatus.SOURCE_STALE``).
    """

    source: Address
    age_ms: float
    is_stale: bool = False


@dataclass(frozen=True, slots=True)
class PollFailed:
    """Connecting or polling failed, or the connection ended; no connection is left."""

    source: Address
    reason: str


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """A probe was answered; ``age_ms`` is the age that the answer states."""

    source: Address
    age_ms: float


@dataclass(frozen=True, slots=True)
class ProbeFailed:
    """A probe was not answered."""

    source: Address


@dataclass(frozen=True, slots=True)
class StartPolling:
    """Poll this source from now on.  The previous one has failed or was stopped."""

    source: Address


@dataclass(frozen=True, slots=True)
class StopPolling:
    """Stop polling this source, and report nothing more about it."""

    source: Address


@dataclass(frozen=True, slots=True)
class SendProbe:
    """Send one short poll to a source that is not polled; its answer gives no state.

    Report ``ProbeAnswered`` or ``ProbeFailed``.
    """

    source: Address


SelectorEvent = Started | TimerFired | PollSent | PollAnswered | PollFailed | ProbeAnswered | ProbeFailed
SelectorAction = StartPolling | StopPolling | SendProbe | SetTimer | Notice


@dataclass(frozen=True, slots=True)
class EndpointListEvent:
    """A complete endpoint list or a change of it.

    ``endpoints`` are by name, None for one that has left.  ``seq`` is discovery's version of the list, None
    where it could not be read.  ``payload`` is the caller's form of the event; None for a list that the
    follower has merged, which is complete and contains no endpoint that has left.
    """

    number: int
    seq: int | None
    is_complete: bool
    endpoints: Mapping[str, Any]
    payload: Any = None


@dataclass(frozen=True, slots=True)
class PurgeEvent:
    """A purge of an object or group.

    The caller replaces an issue time in the future by the present: otherwise purges that are issued before
    that time would count as earlier ones.
    """

    number: int
    target: Hashable
    issued_unix_ms: float
    payload: Any = None


StateEvent = EndpointListEvent | PurgeEvent


@dataclass(frozen=True, slots=True)
class PollResponse:
    """A complete response.  From a plain discovery ``epoch`` is empty and ``age_ms`` 0.

    ``cursor`` is the number of the last event that the source has.
    """

    epoch: str
    age_ms: float
    cursor: int
    events: tuple[StateEvent, ...] = ()


@dataclass(frozen=True, slots=True)
class ResumePosition:
    """The position that a poll states: the epoch and the last accepted event; 0 requests all events."""

    epoch: str
    resume: int


class SyncStatus(Enum):
    """Whether the follower has all events of the source after a response."""

    # All events of the source were accepted.
    IN_SYNC = "in sync"
    # The source has more events, which it sends to the next poll without waiting.
    MORE_AVAILABLE = "more available"
    # The current list is kept because the source's is older; another source should be polled.
    SOURCE_STALE = "source stale"


@dataclass(frozen=True, slots=True)
class AcceptedEvents:
    """The events of a response to apply, in this order."""

    events: tuple[StateEvent, ...]
    status: SyncStatus


@dataclass(frozen=True, slots=True)
class ResponseOutcome:
    """The result of a complete response: the merged list if it has to be applied, and the status."""

    merged_list: EndpointListEvent | None
    status: SyncStatus
