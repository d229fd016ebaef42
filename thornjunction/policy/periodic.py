"""Tasks that the router runs at every tick and once a second."""

from __future__ import annotations

from thornjunction import interface as api
from thornjunction.policy.attempts import AttemptLifecycle
from thornjunction.policy.dispatch import Dispatcher
from thornjunction.policy.hedging import Hedging
from thornjunction.policy.silence import SilenceDetector
from thornjunction.policy.state import DecisionState

# The token of the timer that starts a tick; the tokens of deadline timers begin at 1.
TICK_TOKEN = 0
# Time between ticks: far below every latency objective, and far above the cost of a tick.
TICK_MS = 50.0
# Maximum of waiting requests that one tick dispatches again; each of them costs a decision.
MAX_RESUMED_PER_TICK = 10
# Time between updates of the slowly changing estimates.
UPDATE_INTERVAL_MS = 1000.0
# Admitted share of the lower shared gate, below which fills count as overloaded.
OVERLOADED_GATE_SHARE = 0.8


class EstimateUpdates:
    """Updates the offered load and the fill ranking once a second."""

    def __init__(self, state: DecisionState) -> None:
        self._context = state.context
        self._gates = state.gates
        self._ranking = state.ranking
        self._slow_start = state.placement.slow_start
        self._updated_at_ms: float | None = None

    def update_if_due(self) -> None:
        """Update the estimates if a second has passed; the first call only starts the first second."""
        now_ms = self._context.now_ms
        if self._updated_at_ms is None:
            self._updated_at_ms = now_ms
        elapsed_ms = now_ms - self._updated_at_ms
        if elapsed_ms < UPDATE_INTERVAL_MS:
            return
        self._slow_start.end_interval(elapsed_ms, overloaded=self._gates.fills.share < 1)
        self._ranking.adjust(fills_overloaded=self._gates.lowest_share < OVERLOADED_GATE_SHARE)
        self._updated_at_ms = now_ms


class PeriodicTasks:
    """Runs the tasks of a tick: due retries, late and silent attempts, hedges, estimates."""

    def __init__(
        self, state: DecisionState, dispatcher: Dispatcher, attempts: AttemptLifecycle, hedging: Hedging
    ) -> None:
        self._context = state.context
        self._requests = state.requests
        self._gates = state.gates
        self._dispatcher = dispatcher
        self._attempts = attempts
        self._hedging = hedging
        self._silence = SilenceDetector(state.context, state.requests, attempts, state.retry_budget)
        self._estimate_updates = EstimateUpdates(state)

    def tick(self) -> None:
        """Run all tasks and set the timer of the next tick."""
        self._context.actions.append(api.SetTimer(TICK_MS, TICK_TOKEN))
        self._resume_waiting()
        for attempt in self._attempts.in_flight.values():
            self._gates.record_if_late(attempt)
        self._silence.check()
        self._hedging.send_due()
        self._estimate_updates.update_if_due()

    def _resume_waiting(self) -> None:
        """Dispatch the requests that have waited longest; any that must wait again is moved to the end."""
        due = self._requests.due(self._context.now_ms)
        for request in due[:MAX_RESUMED_PER_TICK]:
            self._requests.resume(request)
            self._dispatcher.dispatch(request)
