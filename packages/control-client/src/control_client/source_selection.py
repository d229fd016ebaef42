"""Selects the source to poll.

Upstreams are polled in the operators' order, siblings only if no upstream answers.  After a failure the
selector switches at once.  If the polled source's state is too old, it switches only to a fresher source, at
increasing intervals.  Of the sources that are not polled, preferred ones are probed in order to return to
them, and all alternatives while the polled one is degraded.  Waits have jitter, so that the clients of a
region do not switch at once.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

from sansio_core import Address, Notice, RandomSource, SetTimer, Started, TimerFired

from control_client.backoff import exponential_backoff, jittered
from control_client.events import (
    PollAnswered,
    PollFailed,
    PollSent,
    ProbeAnswered,
    ProbeFailed,
    SelectorAction,
    SelectorEvent,
    SelectorState,
    SendProbe,
    StartPolling,
    StopPolling,
    SwitchReason,
)
from control_client.notices import SelectorNotice
from control_client.probe_scheduler import ProbeScheduler
from control_client.response_timeout import ResponseTimeout
from control_client.selection_timings import SelectionTimings
from control_client.source_health import SourceHealth
from control_client.source_pool import SourcePool
from control_client.switch_limiter import SwitchLimiter

# Minimum duration of a timer.
MIN_TIMER_MS = 1.0

# The durations of a selector unless others are given.
DEFAULT_TIMINGS = SelectionTimings()


class SourceSelector:
    """Selects the source that one router or relay polls.  Raises InvalidSourcesError.

    ``switches`` counts how often the selector started to poll another source than the last one.
    """

    def __init__(
        self,
        upstreams: Sequence[Address],
        draw: RandomSource,
        siblings: Sequence[Address] = (),
        timings: SelectionTimings = DEFAULT_TIMINGS,
    ) -> None:
        self.timings = timings
        self.draw = draw
        self.state = SelectorState.SEARCHING
        self.current: SourceHealth | None = None
        self.switches = 0
        self._last_polled: SourceHealth | None = None
        self._polled_since_ms = 0.0
        self._pool = SourcePool(upstreams, siblings, timings)
        self._timeout = ResponseTimeout(timings)
        self._switch_limiter = SwitchLimiter(timings)
        self._probes = ProbeScheduler(timings, draw)
        self._timer_token = 0
        self._timer_due_ms = math.inf
        self._actions: list[SelectorAction] = []

    def handle(self, now: float, event: SelectorEvent) -> list[SelectorAction]:
        """Process one event at ``now`` (ms); return the actions to carry out at once, in order.

        Raises KeyError for an unknown source.
        """
        self._actions = []
        match event:
            case Started():
                self._poll_first_available(now, SwitchReason.STARTED)
            case TimerFired():
                self._handle_timer(now, event.token)
            case PollSent():
                if self.current is not None and self.current.address == event.source:
                    self._timeout.start(now)
            case PollAnswered():
                self._handle_poll_answer(now, event)
            case PollFailed():
                source = self._pool.by_address[event.source]
                if source is self.current:
                    self._handle_source_failure(source, now, event.reason)
            case ProbeAnswered():
                self._handle_probe_answer(self._pool.by_address[event.source], now, event.age_ms)
            case ProbeFailed():
                self._handle_probe_failure(self._pool.by_address[event.source], now)
        self._arm_timer(now)
        return self._actions

    @property
    def sources(self) -> Mapping[Address, SourceHealth]:
        """All sources by address, in the operators' order."""
        return self._pool.by_address

    # Polls

    def _handle_poll_answer(self, now: float, event: PollAnswered) -> None:
        source = self._pool.by_address[event.source]
        if source is not self.current:
            return
        self._timeout.response_received()
        source.consecutive_failures = 0
        source.as_of_ms = now - event.age_ms
        if event.is_stale or event.age_ms > self.timings.degraded_age_ms:
            self.state = SelectorState.DEGRADED
            if self._probes.rounds == 0:
                self._probe_alternatives(source, now)
        else:
            self.state = SelectorState.HEALTHY
            self._probes.rounds = 0
        if now - self._polled_since_ms >= self.timings.stable_ms:
            source.penalties = 0

    def _handle_source_failure(self, source: SourceHealth, now: float, reason: str) -> None:
        self.current = None
        self.state = SelectorState.SEARCHING
        if reason == SwitchReason.TIMEOUT:
            self._timeout.record_timeout()
        retry_ms = exponential_backoff(
            self.timings.retry_ms, source.consecutive_failures, self.timings.max_retry_ms
        )
        source.consecutive_failures += 1
        source.penalties += 1
        source.retry_at_ms = now + jittered(retry_ms, self.draw)
        source.mark_unhealthy()
        self._notify(SelectorNotice.SOURCE_FAILED, source, reason)
        self._poll_first_available(now, reason)

    def _poll_first_available(self, now: float, reason: str) -> None:
        """Poll the first available source; if there is none, the timer causes the next attempt."""
        source = self._pool.first_available(now)
        if source is not None:
            self._start_polling(source, now, reason)

    def _start_polling(self, source: SourceHealth, now: float, reason: str) -> None:
        if self._last_polled is not None and self._last_polled is not source:
            self.switches += 1
        self._last_polled = source
        self.current = source
        self.state = SelectorState.HEALTHY
        self._polled_since_ms = now
        self._timeout.start(now)
        self._probes.rounds = 0
        source.clear_probes()
        source.mark_unhealthy()
        self._actions.append(StartPolling(source.address))
        self._notify(SelectorNotice.SOURCE_SELECTED, source, reason)
        for other in self._pool:
            self._plan_probe(other, now)

    def _switch(self, source: SourceHealth, now: float, reason: str) -> None:
        """Switch to another source although the polled one has not failed."""
        self._switch_limiter.record(now)
        if self.current is not None:
            if self.state is SelectorState.DEGRADED:
                self.current.penalties += 1
            self._actions.append(StopPolling(self.current.address))
        self._start_polling(source, now, reason)

    # Probes

    def _plan_probe(self, source: SourceHealth, now: float) -> None:
        if self.current is None:
            return
        is_degraded = self.state is SelectorState.DEGRADED
        self._probes.plan(
            source,
            now,
            is_preferred=source.priority < self.current.priority,
            is_alternative=is_degraded and source in self._pool.alternatives_to(self.current),
        )

    def _probe_alternatives(self, current: SourceHealth, now: float) -> None:
        """Probe all alternatives at once, because the polled source has just become degraded."""
        for source in self._pool.alternatives_to(current):
            if not source.is_probed:
                source.next_probe_ms = now
        self._send_due_probes(now)

    def _send_due_probes(self, now: float) -> None:
        due = [source for source in self._pool if source.next_probe_ms <= now]
        if due and self.state is SelectorState.DEGRADED:
            self._probes.rounds += 1
        for source in due:
            self._probes.start(source, now)
            self._actions.append(SendProbe(source.address))

    def _handle_probe_failure(self, source: SourceHealth, now: float) -> None:
        if not source.is_probed:
            return
        source.probe_deadline_ms = math.inf
        source.consecutive_failures += 1
        source.mark_unhealthy()
        self._plan_probe(source, now)
        self._switch_to_fresher(now)

    def _handle_probe_answer(self, source: SourceHealth, now: float, age_ms: float) -> None:
        if not source.is_probed:
            return
        source.probe_deadline_ms = math.inf
        source.consecutive_failures = 0
        source.as_of_ms = now - age_ms
        self._plan_probe(source, now)
        current = self.current
        if current is None:
            return
        returns_to_upstream = current.is_sibling and not source.is_sibling
        # An upstream's old state is acceptable if the sibling's is not fresher.
        is_acceptable = returns_to_upstream and not self._pool.is_fresher(current, source)
        if age_ms > self.timings.degraded_age_ms and not is_acceptable:
            source.mark_unhealthy()
        else:
            source.healthy_since_ms = min(source.healthy_since_ms, now)
            self._plan_return(source, current, now)
        self._switch_to_fresher(now)

    # Switches without a failure

    def _plan_return(self, source: SourceHealth, current: SourceHealth, now: float) -> None:
        """Plan the return to a preferred source that has been healthy for long enough."""
        if source.priority >= current.priority or source.return_at_ms < math.inf:
            return
        timings = self.timings
        recovery_ms = exponential_backoff(timings.recovery_ms, source.penalties - 1, timings.max_recovery_ms)
        spread_ms = timings.return_spread_ms
        if current.is_sibling and not source.is_sibling:
            recovery_ms = 0.0
            spread_ms = timings.sibling_return_spread_ms
        if now - source.healthy_since_ms >= recovery_ms:
            source.return_at_ms = now + self.draw() * spread_ms

    def _return_to_preferred(self, now: float) -> None:
        for source in self._pool:
            if source.return_at_ms > now:
                continue
            if self._switch_limiter.allows(now):
                self._switch(source, now, SwitchReason.RECOVERED)
                return
            delay_ms = self.draw() * self.timings.return_spread_ms
            source.return_at_ms = self._switch_limiter.next_allowed_ms + delay_ms

    def _switch_to_fresher(self, now: float) -> None:
        """While the polled source is degraded, switch to a fresher one."""
        current = self.current
        if (
            current is None
            or self.state is not SelectorState.DEGRADED
            or not self._switch_limiter.allows(now)
        ):
            return
        replacement = self._pool.replacement_for(current, now)
        if replacement is not None:
            self._switch(replacement, now, SwitchReason.DEGRADED)

    # Time

    def _handle_timer(self, now: float, token: int) -> None:
        if token != self._timer_token:
            return  # superseded by a timer that was set later
        late_ms = now - self._timer_due_ms
        self._timer_due_ms = math.inf
        if self.current is None:
            self._poll_first_available(now, SwitchReason.RETRY)
            return
        if self._timeout.has_expired(now, late_ms):
            self._actions.append(StopPolling(self.current.address))
            self._handle_source_failure(self.current, now, SwitchReason.TIMEOUT)
            return
        for source in self._pool:
            if source.probe_deadline_ms <= now:
                self._handle_probe_failure(source, now)
        self._return_to_preferred(now)
        self._send_due_probes(now)

    def _arm_timer(self, now: float) -> None:
        if self.current is None:
            due_ms = min(source.retry_at_ms for source in self._pool.eligible())
        else:
            next_due_ms = min(source.next_due_ms() for source in self._pool)
            due_ms = min(self._timeout.deadline_ms, next_due_ms)
        if due_ms < self._timer_due_ms:
            self._timer_due_ms = due_ms
            self._timer_token += 1
            self._actions.append(SetTimer(max(due_ms - now, MIN_TIMER_MS), self._timer_token))

    def _notify(self, name: SelectorNotice, source: SourceHealth, reason: str) -> None:
        self._actions.append(Notice(name, {"source": source.name, "cause": str(reason)}))
