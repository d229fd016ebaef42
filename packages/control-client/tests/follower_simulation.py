"""A discovery, relays that copy it, and a client that moves between them.

Every list that ever stood has a rank, in the order of time; an endpoint's value is the rank of the change
that made it, so that a list shows which one it is.
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
    """``lists`` by rank; ``reset`` goes back to a seq that was used before, as a restart does."""

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
    """A log under an epoch; ``as_of`` is when the relay copied discovery last."""

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
        self.first = self.incarnation << 20
        self.head = self.first
        self.changes: list[ListChange] = []
        self.purges: list[PurgeEvent] = []
        self.rank = self.discovery.rank
        self.as_of = now
        self._copied_purges = 0
        self._append_list(self.rank, is_complete=True)
        self._copy_purges()

    def copy(self, now: float) -> None:
        """Copy discovery's current state."""
        for rank in range(self.rank + 1, self.discovery.rank + 1):
            seq, _ = self.discovery.lists[rank]
            previous_seq, _ = self.discovery.lists[rank - 1]
            self._append_list(rank, is_complete=seq != previous_seq + 1)
        self._copy_purges()
        self.rank = self.discovery.rank
        self.as_of = now

    def response(self, now: float, epoch: str, resume: int) -> PollResponse:
        """Return a page of the events after ``resume`` in this epoch, else of the complete state."""
        events: list[StateEvent]
        page_events = PAGE_EVENTS
        if epoch == self.epoch and self.first < resume <= self.head:
            events = [self._event(change) for change in self.changes if change.number > resume]
            events += [purge for purge in self.purges if purge.number > resume]
        else:
            current = self.changes[-1]._replace(is_complete=True)
            events = [self._event(current), *self.purges]
            # A page without the list would be followed by changes alone.
            page_events = max(page_events, sum(event.number <= current.number for event in events))
        events.sort(key=lambda event: event.number)
        return PollResponse(self.epoch, now - self.as_of, self.head, tuple(events[:page_events]))

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
    """Applies what its follower accepts, and checks each step."""

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
            assert event.issued_unix_ms > self.purged.get(event.target, -1.0), "a purge was undone"
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
        """Check that the list stood at discovery, and is no older than the one before."""
        if self.endpoints:
            rank = max(self.endpoints.values())
            assert self.endpoints == self.discovery.lists[rank][1], "a list that never stood"
            assert rank >= self.rank, "an older list"
            self.rank = rank

    def poll_until_in_sync(self, now: float, relay: RelayModel) -> None:
        """Poll one relay, which copies before each poll, until it has sent all."""
        for _ in range(MAX_POLLS_UNTIL_IN_SYNC):
            now += POLL_INTERVAL_MS
            relay.copy(now)
            if self.poll(now, relay).status is SyncStatus.IN_SYNC:
                return
