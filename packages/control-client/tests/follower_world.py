"""A discovery, relays that copy it as they can, and a follower that moves between them, for tests.

Every list that ever stood has a rank by when it stood; a line's value is the rank of the change that made it,
so that a list tells which one it is."""

from __future__ import annotations

from typing import Any

from control_client import Answer, Event, Follower, ListEvent, PurgeEvent, Standing, Taken

SHELFS = ("a", "b", "c")
PAGE = 3  # events


class Discovery:
    """``lists`` by rank; ``reset`` goes back to a seq that was told before, as a new start does."""

    def __init__(self) -> None:
        self.rank, self.seq = 0, 3
        self.lines: dict[str, int] = dict.fromkeys(SHELFS, 0)
        self.lists: list[tuple[int, dict[str, int]]] = [(3, dict(self.lines))]
        self.purges: list[tuple[str, float]] = []

    def change(self, name: str) -> None:
        self.rank += 1
        self.seq += 1
        self.lines[name] = self.rank
        self.lists.append((self.seq, dict(self.lines)))

    def reset(self, seq: int) -> None:
        self.rank += 1
        self.seq = seq
        self.lines = dict.fromkeys(SHELFS, self.rank)
        self.lists.append((self.seq, dict(self.lines)))

    def purge(self, what: str, now: float) -> None:
        self.purges.append((what, now))


class RelayModel:
    """A log of its own under an epoch; ``as_of`` is when it copied last."""

    def __init__(self, name: str, discovery: Discovery) -> None:
        self.name, self.discovery, self.life = name, discovery, 0
        self.rank = self.purged = 0
        self.restart(0.0)

    @property
    def epoch(self) -> str:
        return f"{self.name}-{self.life}"

    def restart(self, now: float) -> None:
        """A new epoch, with what discovery says now."""
        self.life += 1
        self.head = self.first = self.life << 20
        self.changes: list[tuple[int, int, bool]] = []  # number, rank, whole
        self.purges: list[tuple[int, str, float]] = []
        self.rank, self.as_of, self.purged = self.discovery.rank, now, 0
        self._log(self.rank, True)
        self._copy_purges()

    def copy(self, now: float) -> None:
        """Take over what discovery says now."""
        for rank in range(self.rank + 1, self.discovery.rank + 1):
            seq, before = self.discovery.lists[rank][0], self.discovery.lists[rank - 1][0]
            self._log(rank, seq != before + 1)
        self._copy_purges()
        self.rank, self.as_of = self.discovery.rank, now

    def _copy_purges(self) -> None:
        for what, when in self.discovery.purges[self.purged :]:
            self.head += 1
            self.purges.append((self.head, what, when))
        self.purged = len(self.discovery.purges)

    def _log(self, rank: int, whole: bool) -> None:
        self.head += 1
        self.changes.append((self.head, rank, whole))

    def answer(self, now: float, epoch: str, resume: int, pages: int = PAGE) -> Answer:
        """Events after ``resume`` in this epoch, else the whole state; a page of it."""
        events: list[Event]
        if epoch == self.epoch and self.first < resume <= self.head:
            events = [self._event(*change) for change in self.changes if change[0] > resume]
            events += [PurgeEvent(*purge) for purge in self.purges if purge[0] > resume]
        else:
            number, rank, _ = self.changes[-1]
            events = [self._event(number, rank, True)]
            events += [PurgeEvent(*purge) for purge in self.purges]
            # A page that had no list would be followed by changes alone.
            pages = max(pages, sum(event.number <= number for event in events))
        events.sort(key=lambda event: event.number)
        return Answer(self.epoch, now - self.as_of, self.head, tuple(events[:pages]))

    def _event(self, number: int, rank: int, whole: bool) -> ListEvent:
        seq, lines = self.discovery.lists[rank]
        changed = lines if whole else {name: value for name, value in lines.items() if value == rank}
        return ListEvent(number, seq, whole, dict(changed))


class Held:
    """What somebody who follows has applied, and checks on each step."""

    def __init__(self, discovery: Discovery, hold_ms: float = 1e9) -> None:
        self.follower, self.discovery = Follower(hold_ms=hold_ms), discovery
        self.lines: dict[str, Any] = {}
        self.rank = -1
        self.purged: dict[Any, float] = {}
        self.applied: list[tuple[Any, float]] = []

    def ask(self, now: float, relay: RelayModel) -> Taken:
        position = self.follower.asked(now)
        return self.take(now, relay.answer(now, position.epoch, position.resume))

    def take(self, now: float, answer: Answer) -> Taken:
        taken = self.follower.take(now, answer)
        for event in taken.events:
            self.apply(event)
        self.check_list()
        return taken

    def apply(self, event: Event) -> None:
        if isinstance(event, PurgeEvent):
            assert event.when_ms > self.purged.get(event.what, -1.0), "un-purged"
            self.purged[event.what] = event.when_ms
            self.applied.append((event.what, event.when_ms))
            return
        if event.whole:
            self.lines = {}
        for name, line in event.lines.items():
            if line is None:
                self.lines.pop(name, None)
            else:
                self.lines[name] = line

    def check_list(self) -> None:
        """What is held is a list that stood, and none from before the one that was held."""
        if self.lines:
            rank = max(self.lines.values())
            assert self.lines == self.discovery.lists[rank][1], "a list that never stood"
            assert rank >= self.rank, "an older list"
            self.rank = rank

    def settle(self, now: float, relay: RelayModel) -> float:
        """Poll one relay, that copies before each, until it has told all; the time then."""
        for _ in range(40):
            now += 400.0
            relay.copy(now)
            if self.ask(now, relay).standing is Standing.IN_STEP:
                break
        return now
