"""Decides whom to poll.

Upstreams are asked in the operators' order, siblings only where no upstream answers.  A failure moves on
at once; an age that is too high only where another is younger, and then not more often than a while that
grows.  Sources that are not asked are probed: earlier ones so that we go back to them, all while the one
that is asked is behind or older than what is held.  Every wait is drawn, so that a whole region does not
come at once."""

from __future__ import annotations

import math
from collections.abc import Sequence

from sansio_core import Address, Notice, RandomSource, SetTimer, Started, TimerFired

from control_client.seam import (
    Answered,
    Ask,
    Failed,
    Leave,
    Polled,
    Probe,
    SourcesAction,
    SourcesEvent,
)
from control_client.standing import PROBE_MS, Source, doubled
from control_client.times import SourceTimes

MOST_SOURCES = 16
LATE_MS = 100.0  # of a timer: this process was late itself, and what has come is not read yet
GRACE_MS = 500.0  # at most, for that
UPSTREAM_FAILS = 2  # in a row of each upstream, until siblings are asked
TIMES = SourceTimes()


class Sources:
    """One router's or relay's choice.  ValueError where there is no source, too many, or one twice."""

    def __init__(
        self,
        upstreams: Sequence[Address],
        draw: RandomSource,
        siblings: Sequence[Address] = (),
        times: SourceTimes = TIMES,
    ) -> None:
        given = [*upstreams, *siblings]
        if not given or len(given) > MOST_SOURCES or len(set(given)) < len(given):
            raise ValueError(f"between 1 and {MOST_SOURCES} sources are needed, each named once")
        self.times, self.draw = times, draw
        self.sources = {
            address: Source(address, place, place >= len(upstreams)) for place, address in enumerate(given)
        }
        self.current: Source | None = None
        self.moves = 0  # how often another source was asked than the one before
        self._before: Source | None = None
        self._since = 0.0  # when the current one was first asked
        self._silent_at, self._silences = math.inf, 0  # in a row, of any source
        self._troubled = False  # the current one is behind, or older than what is held
        self._looks = 0  # in a row, while it is
        self._free_at, self._moved_at, self._rests = -math.inf, -math.inf, 0  # of moves that nothing forces
        self._token, self._due = 0, math.inf
        self._actions: list[SourcesAction] = []

    def handle(self, now: float, event: SourcesEvent) -> list[SourcesAction]:
        """Carry out what is returned at once, in its order.  KeyError for a source that was not given."""
        self._actions = []
        match event:
            case Started():
                self._next(now, "start")
            case TimerFired():
                if event.token == self._token:
                    late, self._due = now - self._due, math.inf
                    self._tick(now, late)
            case Polled():
                if self._is_current(event.source):
                    self._silent_at = now + self._patience_ms()
            case Answered():
                source = self.sources[event.source]
                if event.probe:
                    self._probed(source, now, event.age_ms)
                elif source is self.current:
                    self._answered(source, now, event)
            case Failed():
                source = self.sources[event.source]
                if event.probe:
                    self._probe_failed(source, now)
                elif source is self.current:
                    self._failed(source, now, event.why)
        self._arm(now)
        return self._actions

    def age_ms(self, now: float) -> float:
        """Of what the source that is asked told last; infinite: nothing yet."""
        return now - self.current.as_of if self.current is not None else math.inf

    def _is_current(self, address: Address) -> bool:
        return self.current is not None and self.current.address == address

    def _others(self) -> list[Source]:
        """Who may be asked instead of the current one; siblings only in the place of a sibling."""
        current = self.current
        return [
            source
            for source in self.sources.values()
            if current is not None and source is not current and (current.sibling or not source.sibling)
        ]

    def _patience_ms(self) -> float:
        """Guards sources that are slow, as many come to them at once, against being asked in turn for whole
        states that nobody waits for."""
        return doubled(self.times.silent_ms, self._silences, self.times.most_silent_ms)

    def _drawn(self, ms: float) -> float:
        return ms * (0.5 + self.draw() / 2)

    def _answered(self, source: Source, now: float, event: Answered) -> None:
        self._silent_at, source.fails, source.as_of = math.inf, 0, now - event.age_ms
        self._silences = 0
        self._troubled = event.older or event.age_ms > self.times.behind_ms
        if not self._troubled:
            self._looks = 0
        elif self._looks == 0:
            self._look_round(now)
        if now - self._since >= self.times.calm_ms:
            source.strikes = 0

    def _look_round(self, now: float) -> None:
        """Ask the others how young they are: at once, and then now and then while the trouble lasts."""
        for source in self._others():
            if source.probed_until == math.inf:
                source.look_at = now
        self._look(now)

    def _failed(self, source: Source, now: float, why: str) -> None:
        self.current = None
        self._silences += why == "silent"
        source.fails += 1
        source.strikes += 1
        source.retry_at = now + self._drawn(
            doubled(self.times.again_ms, source.fails - 1, self.times.most_again_ms)
        )
        source.doubt()
        self._tell("source-left", source, why)
        self._next(now, why)

    def _next(self, now: float, why: str) -> None:
        """Ask the first that may be asked; where there is none, the timer brings us back."""
        waiting = [source for source in self._allowed() if source.retry_at <= now]
        if waiting:
            # One that answered last goes before one that did not.
            self._ask(min(waiting, key=lambda source: (source.fails > 0, source.place)), now, why)

    def _allowed(self) -> list[Source]:
        """By whom it may be tried, while nobody is asked."""
        upstreams = [source for source in self.sources.values() if not source.sibling]
        siblings = [source for source in self.sources.values() if source.sibling]
        return upstreams + siblings * all(source.fails >= UPSTREAM_FAILS for source in upstreams)

    def _ask(self, source: Source, now: float, why: str) -> None:
        self.moves += self._before is not None and self._before is not source
        self._before = self.current = source
        self._since, self._silent_at = now, now + self._patience_ms()
        self._troubled, self._looks = False, 0
        source.look_at = source.probed_until = math.inf
        source.doubt()
        self._actions.append(Ask(source.address))
        self._tell("source-asked", source, why)
        for other in self.sources.values():
            self._plan_look(other, now)

    def _move(self, source: Source, now: float, why: str) -> None:
        """A move that nothing forces: these are bounded."""
        if now - self._moved_at >= self.times.calm_ms:
            self._rests = 0
        self._free_at = now + doubled(self.times.rest_ms, self._rests, self.times.most_rest_ms)
        self._moved_at, self._rests = now, self._rests + 1
        if self.current is not None:
            self.current.strikes += self._troubled
            self._actions.append(Leave(self.current.address))
        self._ask(source, now, why)

    def _plan_look(self, source: Source, now: float) -> None:
        """Earlier sources are looked at so that we go back; all, while the current one is in trouble."""
        current, times = self.current, self.times
        if current is None or source.probed_until < math.inf:
            return
        wanted = self._troubled and source in self._others()
        if source.place >= current.place and not wanted:
            source.look_at = math.inf
            return source.doubt()
        times_over = max(source.fails, self._looks - 1 if wanted else 0)
        source.look_at = now + self._drawn(doubled(times.look_ms, times_over, times.most_look_ms))

    def _look(self, now: float) -> None:
        due = [source for source in self.sources.values() if source.look_at <= now]
        self._looks += bool(due) and self._troubled
        for source in due:
            source.look_at, source.probed_until = math.inf, now + PROBE_MS
            self._actions.append(Probe(source.address))

    def _probe_failed(self, source: Source, now: float) -> None:
        if source.probed_until == math.inf:
            return
        source.probed_until = math.inf
        source.fails += 1
        source.doubt()
        self._plan_look(source, now)
        self._prefer_younger(now)

    def _probed(self, source: Source, now: float, age_ms: float) -> None:
        if source.probed_until == math.inf:
            return
        source.probed_until, source.fails, source.as_of = math.inf, 0, now - age_ms
        self._plan_look(source, now)
        current = self.current
        if current is None:
            return
        upward = current.sibling and not source.sibling
        if age_ms > self.times.behind_ms and not (upward and not self._is_younger(current, source)):
            source.doubt()
        else:
            source.good_since = min(source.good_since, now)
            self._plan_return(source, now, upward)
        self._prefer_younger(now)

    def _plan_return(self, source: Source, now: float, upward: bool) -> None:
        times, current = self.times, self.current
        if current is None or source.place >= current.place or source.go_at < math.inf:
            return
        good_ms = 0.0 if upward else doubled(times.good_ms, source.strikes - 1, times.most_good_ms)
        if now - source.good_since >= good_ms:
            spread_ms = times.sibling_spread_ms if upward else times.spread_ms
            source.go_at = now + self.draw() * spread_ms

    def _is_younger(self, one: Source, other: Source) -> bool:
        return one.as_of - other.as_of >= self.times.younger_ms

    def _prefer_younger(self, now: float) -> None:
        """While the current one is in trouble: the first that is not behind, else the youngest of all."""
        current = self.current
        if current is None or not self._troubled or now < self._free_at:
            return
        others = [
            source for source in self._others() if source.fails == 0 and self._is_younger(source, current)
        ]
        fresh = [source for source in others if now - source.as_of <= self.times.behind_ms]
        if fresh:
            self._move(min(fresh, key=lambda source: source.place), now, "behind")
        elif others and all(source.probed_until == math.inf for source in self._others()):
            self._move(max(others, key=lambda source: source.as_of), now, "behind")

    def _tick(self, now: float, late_ms: float) -> None:
        if self.current is None:
            return self._next(now, "again")
        if self._silent_at <= now:
            if late_ms > LATE_MS:
                # Guards a source that has answered against a process that was late itself.
                self._silent_at = now + min(late_ms, GRACE_MS)
            else:
                self._actions.append(Leave(self.current.address))
                return self._failed(self.current, now, "silent")
        for source in self.sources.values():
            if source.probed_until <= now:
                self._probe_failed(source, now)
        self._return(now)
        self._look(now)

    def _return(self, now: float) -> None:
        for source in self.sources.values():
            if source.go_at > now:
                continue
            if now < self._free_at:
                source.go_at = self._free_at + self.draw() * self.times.spread_ms
            else:
                return self._move(source, now, "back")

    def _arm(self, now: float) -> None:
        if self.current is None:
            due = min(source.retry_at for source in self._allowed())
        else:
            due = min(self._silent_at, *(source.next_due() for source in self.sources.values()))
        if due < self._due:
            self._due, self._token = due, self._token + 1
            self._actions.append(SetTimer(max(due - now, 1.0), self._token))

    def _tell(self, name: str, source: Source, why: str) -> None:
        self._actions.append(Notice(name, {"source": source.name, "why": why}))
