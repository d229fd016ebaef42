"""Models of a discovery, of relays that copy its state, and of a client that polls one relay or another.

The rank of a list is its position among all lists that discovery ever had.  An endpoint's value is the rank
of the change that set it, so that the highest value in a list is the rank of that list.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from control_client import (
    AcceptedEvents,
    EndpointListEvent,
    PollResponse,
    PurgeEvent,
    StateEvent,
    StateFollower,
    SyncStatus,
)

ENDPOINTS = ("a", "b", "c")
PAGE_EVENTS = 3
POLL_INTERVAL_MS = 400.0
MAX_POLLS_UNTIL_IN_SYNC = 40


class DiscoveryModel:
    """``lists`` holds all lists by rank; ``reset`` returns to an earlier seq, as a restart does."""

    def __init__(self) -> None:
        self.rank = 0
        self.seq = 3
        self.endpoints: dict[str, int] = dict.fromkeys(ENDPOINTS, 0)
        self.lists: list[tuple[int, dict[str, int]]] = [(self.seq, dict(self.endpoints))]
        self.purges: list[tuple[str, float]] = []

    def change(self, name: str) -> None:
        self.rank += 1
        self.seq += 1
        self.endpoints[name] = self.rank
        self.lists.append((self.seq, dict(self.endpoints)))

    def reset(self, seq: int) -> None:
        self.rank += 1
        self.seq = seq
        self.endpoints = dict.fromkeys(ENDPOINTS, self.rank)
        self.lists.append((self.seq, dict(self.endpoints)))

    def purge(self, target: str, now: float) -> None:
        self.purges.append((target, now))


class ListChange(NamedTuple):
    """A list event of a relay: its number, the list's rank, and whether the event is complete."""

    number: int
    rank: int
    is_complete: bool


class RelayModel:
    """An event log in one epoch; ``as_of_ms`` is when the relay last copied discovery's state."""

    def __init__(self, name: str, discovery: DiscoveryModel) -> None:
        self.name = name
        self.discovery = discovery
        self.incarnation = 0
        self.restart(0.0)

    @property
    def epoch(self) -> str:
        return f"{self.name}-{self.incarnation}"

    def restart(self, now: float) -> None:
        """Begin a new epoch with discovery's current state."""
        self.incarnation += 1
        self.first_number = self.incarnation << 20
        self.head = self.first_number
        self.changes: list[ListChange] = []
        self.purges: list[PurgeEvent] = []
        self.rank = self.discovery.rank
        self.as_of_ms = now
        self._copied_purges = 0
        self._append_list(self.rank, is_complete=True)
        self._copy_purges()

    def copy_discovery(self, now: float) -> None:
        """Copy discovery's current state."""
        for rank in range(self.rank + 1, self.discovery.rank + 1):
            seq, _ = self.discovery.lists[rank]
            previous_seq, _ = self.discovery.lists[rank - 1]
            self._append_list(rank, is_complete=seq != previous_seq + 1)
        self._copy_purges()
        self.rank = self.discovery.rank
        self.as_of_ms = now

    def response(self, now: float, epoch: str, resume: int) -> PollResponse:
        """Return a page of the events after ``resume`` in this epoch, else of the complete state."""
        events: list[StateEvent]
        page_events = PAGE_EVENTS
        if epoch == self.epoch and self.first_number < resume <= self.head:
            events = [self._event(change) for change in self.changes if change.number > resume]
            events += [purge for purge in self.purges if purge.number > resume]
        else:
            current = self.changes[-1]._replace(is_complete=True)
            events = [self._event(current), *self.purges]
            # If the page ended before the list, only changes would follow and never the complete list.
            page_events = max(page_events, sum(event.number <= current.number for event in events))
        events.sort(key=lambda event: event.number)
        return PollResponse(self.epoch, now - self.as_of_ms, self.head, tuple(events[:page_events]))

    def _copy_purges(self) -> None:
        for target, issued_unix_ms in self.discovery.purges[self._copied_purges :]:
            self.head += 1
            self.purges.append(PurgeEvent(self.head, target, issued_unix_ms))
        self._copied_purges = len(self.discovery.purges)

    def _append_list(self, rank: int, *, is_complete: bool) -> None:
        self.head += 1
        self.changes.append(ListChange(self.head, rank, is_complete))

    def _event(self, change: ListChange) -> EndpointListEvent:
        seq, endpoints = self.discovery.lists[change.rank]
        if not change.is_complete:
            endpoints = {name: rank for name, rank in endpoints.items() if rank == change.rank}
        return EndpointListEvent(change.number, seq, change.is_complete, dict(endpoints))


class FollowingClient:
    """Applies the events that its follower accepts, and checks the list and purges after each step."""

    def __init__(self, discovery: DiscoveryModel, purge_retention_ms: float = 1e9) -> None:
        self.follower = StateFollower(purge_retention_ms=purge_retention_ms)
        self.discovery = discovery
        self.endpoints: dict[str, Any] = {}
        self.rank = -1
        self.purged: dict[Any, float] = {}
        self.applied_purges: list[tuple[Any, float]] = []

    def poll(self, now: float, relay: RelayModel) -> AcceptedEvents:
        position = self.follower.begin_poll(now)
        response = relay.response(now, position.epoch, position.resume)
        accepted = self.follower.accept_response(now, response)
        for event in accepted.events:
            self.apply(event)
        self.check_list()
        return accepted

    def apply(self, event: StateEvent) -> None:
        if isinstance(event, PurgeEvent):
            assert event.issued_unix_ms > self.purged.get(event.target, -1.0), (
                "an accepted purge is no later than the one before"
            )
            self.purged[event.target] = event.issued_unix_ms
            self.applied_purges.append((event.target, event.issued_unix_ms))
            return
        if event.is_complete:
            self.endpoints = {}
        for name, endpoint in event.endpoints.items():
            if endpoint is None:
                self.endpoints.pop(name, None)
            else:
                self.endpoints[name] = endpoint

    def check_list(self) -> None:
        """Check that the list was once discovery's, and is no older than the previous one."""
        if self.endpoints:
            rank = max(self.endpoints.values())
            assert self.endpoints == self.discovery.lists[rank][1], "the list was never discovery's"
            assert rank >= self.rank, "the list is older than the previous one"
            self.rank = rank

    def poll_until_in_sync(self, now: float, relay: RelayModel) -> None:
        """Poll one relay, which copies discovery before each poll, until the client is in sync."""
        for _ in range(MAX_POLLS_UNTIL_IN_SYNC):
            now += POLL_INTERVAL_MS
            relay.copy_discovery(now)
            if self.poll(now, relay).status is SyncStatus.IN_SYNC:
                return
