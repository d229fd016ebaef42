"""What may be taken of what sources tell: no older state un-drains or un-purges.

A state has an as-of: when discovery itself confirmed that it stood so.  Of an answer it lies between the
poll's time and the answer's, less the age that is told; of what is held the later end counts, of what is
offered the earlier one.  Who enters another epoch, or asks for all again, puts the list events together
until the source has told all, and judges the list that they come to: a plain discovery tells its history
from the first list on, and a step of that is no state to serve by."""

from __future__ import annotations

import math

from control_client.fold import Fold
from control_client.purges import PurgeMemory
from control_client.seam import Answer, Event, ListEvent, Position, PurgeEvent, Standing, Taken

LATER_MS = 1000.0  # an as-of later by this tells of discovery set back, where the seq is lower
HISTORY_MS = 2000.0  # one earlier by this, with a seq not lower: of a time before discovery was set back
BACK_TIMES, BACK_MS = 3, 1500.0  # answers in a row, and over how long, until numbers count as gone back
AGAIN_MS, MOST_AGAIN_MS = 1000.0, 30_000.0  # between whole states that are asked for again
CALM_MS = 60_000.0  # without one, after which the first wait is short again
LATE_MS = 1300.0  # of an answer: past it nothing says when it was written
MOST_PURGES, MOST_LINES, HOLD_MS = 4096, 4096, 10_000.0


class Follower:
    """Follows one source at a time, whichever is asked.  Call ``asked`` at each poll, then ``take`` with
    the answer, or for an answer in pieces ``begin``, ``offer`` for each event as it comes, and ``end``.
    An answer that breaks off needs no call: what was offered stays taken, and the next poll asks for the
    rest."""

    def __init__(
        self, hold_ms: float = HOLD_MS, most_purges: int = MOST_PURGES, most_lines: int = MOST_LINES
    ) -> None:
        self.purges, self.fold = PurgeMemory(hold_ms, most_purges), Fold(most_lines)
        self.epoch, self.cursor = "", 0
        self.seq: int | None = None
        self.listed, self.as_of = False, -math.inf  # of the list that is held
        self._confirmed = -math.inf  # as-of for others: of the last answer that told all
        self._entering = True
        self._passing: float | None = None  # the source is older: its changes up to this seq are no news
        self._gap, self._again_at, self._again_ms = False, -math.inf, AGAIN_MS
        self._back, self._back_since = 0, 0.0
        self._checked: int | None = None  # the number that was held when numbers went back
        self._asked_at, self._asked_from = -math.inf, 0
        self._now = self._earliest = self._latest = 0.0
        self._floor = self._reached = self._last = 0
        self._foreign = False

    def start(self, now: float, cursor: int, seq: int | None) -> None:
        """A list is known from elsewhere, in the numbers of a plain discovery.  It counts as of now: so
        nothing un-drains that it drains, and what is truly later is taken a second later."""
        self.cursor, self.seq, self.listed = cursor, seq, True
        self.as_of, self._entering = now, False

    def asked(self, now: float) -> Position:
        """A poll goes out now: what it says."""
        self._asked_at, self._asked_from = now, 0 if self._checked is not None else self.cursor
        return Position(self.epoch, self._asked_from)

    def age_ms(self, now: float) -> float:
        """How long ago discovery confirmed what is held, no less than the truth; infinite: never."""
        return now - self._confirmed

    def take(self, now: float, answer: Answer) -> Taken:
        """What is to be applied of an answer, lists before purges; its events come by their numbers."""
        self.begin(now, answer.epoch, answer.age_ms, answer.cursor)
        taken: list[Event] = [event for event in answer.events if self.offer(event)]
        whole, standing = self.end()
        purges = [event for event in taken if isinstance(event, PurgeEvent)]
        # A drain must not wait for a purge; a list that was put together stands behind the changes before it.
        lists = [event for event in taken if isinstance(event, ListEvent)]
        return Taken((*lists, *([whole] if whole is not None else []), *purges), standing)

    def begin(self, now: float, epoch: str, age_ms: float, cursor: int | None) -> None:
        """An answer to the last poll begins.  ``cursor`` is None where that comes behind the events only;
        then nothing is taken for a new start of discovery."""
        age = max(age_ms, 0.0)
        self._now, self._latest, self._earliest = now, now - age, min(self._asked_at, now) - age
        cursor = cursor if cursor is not None else max(self.cursor, self._asked_from)
        self._last, self._reached, self._foreign = cursor, -1, False
        if epoch != self.epoch:
            self._enter(epoch)
            # A plain discovery knows no epochs: it took a number of others for one of its own.
            self._foreign = epoch == "" and self._asked_from > 0
        else:
            self._look_back(cursor)
        self._floor = self.cursor

    def offer(self, event: Event) -> bool:
        """Whether this event of the answer is to be applied now."""
        self._reached = max(self._reached, event.number)
        if self._foreign or event.number <= self._floor:
            return False
        self.cursor = max(self.cursor, event.number)
        if isinstance(event, PurgeEvent):
            return self.purges.is_new(self._now, event.what, event.when_ms)
        if self._entering or (event.whole and self._passing is not None):
            self._entering = True
            self.fold.add(event)
            return False
        return self._change(event)

    def end(self, cursor: int | None = None) -> tuple[ListEvent | None, Standing]:
        """The answer has come whole: the list that is to be applied, if any, and how the source stands.
        ``cursor`` where it was not known at the beginning."""
        self._last = self._last if cursor is None else cursor
        behind = self._last < self._floor  # it says that it has not told what we have from it
        if self._foreign or behind or 0 <= self._reached < self._last:
            return None, Standing.MORE
        whole = self._judge(self.fold.event()) if self._entering and self.fold.whole else None
        if self._entering:
            self._gap |= self.fold.lost
        elif self._passing is None:
            self._confirm()
        kept = self._entering or self._passing is not None
        # Only where the verdict may be another one by now is all asked for again.
        doubtful = self._gap or (self._passing is not None and self._earliest - self.as_of >= LATER_MS)
        if doubtful and self._ask_all():
            return whole, Standing.MORE
        return whole, Standing.OLDER if kept else Standing.IN_STEP

    def _confirm(self) -> None:
        late = self._now - self._asked_at > LATE_MS
        self.as_of = max(self.as_of, self._latest)
        self._confirmed = max(self._confirmed, self._earliest if late else self._latest)

    def _enter(self, epoch: str) -> None:
        self.epoch, self.cursor, self._entering, self._passing = epoch, 0, True, None
        self._gap, self._back, self._checked = False, 0, None
        self.fold.clear()

    def _look_back(self, cursor: int) -> None:
        """Guards against a discovery that starts its numbers anew, and against one false word that says
        so."""
        if self._checked is not None:
            held, self._checked = self._checked, None
            if cursor < held:
                self._enter(self.epoch)
        elif cursor >= self.cursor:
            self._back = 0
        else:
            self._back_since = self._back_since if self._back else self._now
            self._back += 1
            if self._back >= BACK_TIMES and self._now - self._back_since >= BACK_MS:
                self._back, self._checked = 0, self.cursor

    def _change(self, event: ListEvent) -> bool:
        """A list event within the epoch: its number alone gives the order."""
        if event.whole:
            self.seq, self.listed = event.seq, True
            return True
        if self._passing is not None:
            # Guards what is held against the changes of another history: news of an older source are asked
            # for as a whole, and judged as such.
            self._gap |= event.seq is not None and event.seq > self._passing
            return False
        if event.seq is not None:
            self._gap |= self.seq is not None and event.seq > self.seq + 1
            self.seq = event.seq
        return True

    def _judge(self, told: ListEvent) -> ListEvent | None:
        """The list that a source tells as a whole; None where the one that is held stays."""
        self._entering = False
        self.fold.clear()
        lower = told.seq is None or (self.seq is not None and told.seq < self.seq)
        if self.listed and self._earliest - self.as_of < LATER_MS:
            if lower:
                self._passing = self.seq if self.seq is not None else math.inf
                return None
            if self.as_of - self._latest >= HISTORY_MS:
                # Guards a new count that is still low against the lists of a source that missed the start.
                self._passing = math.inf
                return None
        self.seq, self.listed, self._passing = told.seq, True, None
        self.as_of = max(self.as_of, self._latest)
        return told

    def _ask_all(self) -> bool:
        """The next poll asks for the whole state; not more often than a while that grows."""
        if self._now < self._again_at:
            return False
        if self._now - self._again_at >= CALM_MS:
            self._again_ms = AGAIN_MS
        self._enter(self.epoch)
        self._again_at = self._now + self._again_ms
        self._again_ms = min(self._again_ms * 2, MOST_AGAIN_MS)
        return True
