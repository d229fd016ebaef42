"""Discovery whose numbers go back: a new start of its own, or a false word.

It is asked from 0 only where its answers were behind what is known for a while.  Only an answer that is
still behind then, and that begins with a whole list, is a new start; and even so nothing that left comes back
by it: what a liar or an old copy tells can't un-drain.  Purges can't be undone by any word: a later one wins.
"""

from __future__ import annotations

from dataclasses import replace

from thornjunction import interface as api
from thornjunction.net.wire.commands import Commands, ListChange

BEHIND_TIMES, BEHIND_MS = 3, 1500.0  # answers in a row, over so long
MOST_BEHIND_MS = 60_000.0  # as that grows with false words: each may cost a long answer
MOST_NAMES = 8192  # of shelfs that are kept: many times the fleet


class EpochChangeDetector:
    """Whether to ask from 0; times are the caller's clock, in milliseconds."""

    def __init__(self) -> None:
        self.asking = False  # the next poll, or the one that is open, asks from 0
        self._times, self._since, self._patience_ms = 0, 0.0, BEHIND_MS

    def heard(self, behind: bool, now: float) -> None:
        """An answer to a poll behind what is known."""
        if not behind:
            self._times = 0
            return
        if not self._times:
            self._since = now
        self._times += 1
        self.asking = self._times >= BEHIND_TIMES and now - self._since >= self._patience_ms

    def settled(self, new_start: bool) -> None:
        """The answer to the poll from 0 has begun."""
        self.asking, self._times = False, 0
        self._patience_ms = BEHIND_MS if new_start else min(2.0 * self._patience_ms, MOST_BEHIND_MS)


def is_new_start(told: int | None, known: int, begun: Commands) -> bool:
    """Whether an answer from 0, which tells that cursor and begins with these events, is a new start's whole
    state.  Where the cursor comes only behind the events, that can't be known, and it is none."""
    if told is None or told >= known or not begun.events:
        return False
    first = min(begun.events, key=lambda event: event.cursor)
    return isinstance(first, ListChange) and first.is_complete


class RemovedEndpoints:
    """The shelfs that were told as leaving, left, or not listed any more, until they are told as active."""

    def __init__(self) -> None:
        self._active: dict[str, float] = {}  # by name: ``born_ms`` as listed
        self._left: dict[str, float] = {}

    def note(self, change: ListChange) -> None:
        """Keep what a change says."""
        if change.is_complete:
            listed = {host.name for host in change.hosts}
            for name in [name for name in self._active if name not in listed]:
                self._left[name] = self._active.pop(name)
        for host in change.hosts:
            serves = host.state is api.ServerState.SERVING
            here, there = (self._active, self._left) if serves else (self._left, self._active)
            there.pop(host.name, None)
            here[host.name] = host.started_unix_ms
        for names in (self._active, self._left):
            while len(names) > MOST_NAMES:
                del names[next(iter(names))]

    def kept_out(self, change: ListChange) -> ListChange:
        """The change with each active shelf that had left as leaving, unless it was born later."""
        hosts = tuple(
            replace(host, state=api.ServerState.DRAINING)
            if host.state is api.ServerState.SERVING
            and host.started_unix_ms <= self._left.get(host.name, -1e300)
            else host
            for host in change.hosts
        )
        return replace(change, hosts=hosts)
