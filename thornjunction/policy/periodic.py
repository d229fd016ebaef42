"""What the router does at every tick and once a second."""

from __future__ import annotations

from thornjunction import interface as api
from thornjunction.limits.slow_start import SlowStart
from thornjunction.policy.attempts import AttemptLifecycle
from thornjunction.policy.context import DecisionContext
from thornjunction.policy.dispatch import Dispatcher
from thornjunction.policy.fill_ranking import FillRanking
from thornjunction.policy.hedging import Hedging
from thornjunction.policy.requests import RequestTable
from thornjunction.policy.shared_gates import SharedGates
from thornjunction.policy.silence import SilenceDetector

# The token of the tick's timer; those of deadlines begin at 1.
TICK_TOKEN = 0
# ms between ticks: short against every objective, long against the cost of a tick.
TICK_MS = 50.0
# Waiting requests that a tick tries again; each costs a whole decision.
RESUMED_PER_TICK = 10
# ms between steps of the slow estimates.
STEP_INTERVAL_MS = 1000.0
# Share of a gate below which fills are under strain.
STRAINED_GATE_SHARE = 0.8


class EstimateSteps:
    """Moves the slow estimates, once a second."""

    def __init__(
        self, context: DecisionContext, gates: SharedGates, ranking: FillRanking, slow_start: SlowStart
    ) -> None:
        self._context = context
        self._gates = gates
        self._ranking = ranking
        self._slow_start = slow_start
        self._stepped_at_ms: float | None = None

    def step_if_due(self) -> None:
        """Learn the load and adjust the fill ranking, if a second has passed; the first call only begins."""
        now_ms = self._context.now_ms
        if self._stepped_at_ms is None:
            self._stepped_at_ms = now_ms
        elapsed_ms = now_ms - self._stepped_at_ms
        if elapsed_ms < STEP_INTERVAL_MS:
            return
        self._slow_start.end_interval(elapsed_ms, strained=self._gates.fills.share < 1)
        self._ranking.adjust(fills_strained=self._gates.lowest_share < STRAINED_GATE_SHARE)
        self._stepped_at_ms = now_ms


class PeriodicTasks:
    """Runs what depends on time rather than on events."""

    def __init__(
        self,
        context: DecisionContext,
        requests: RequestTable,
        dispatcher: Dispatcher,
        attempts: AttemptLifecycle,
        gates: SharedGates,
        silence: SilenceDetector,
        hedging: Hedging,
        steps: EstimateSteps,
    ) -> None:
        self._context = context
        self._requests = requests
        self._dispatcher = dispatcher
        self._attempts = attempts
        self._gates = gates
        self._silence = silence
        self._hedging = hedging
        self._steps = steps

    def tick(self) -> None:
        """Run what is due, and set the timer of the next tick."""
        self._context.actions.append(api.SetTimer(TICK_MS, TICK_TOKEN))
        self._resume_waiting()
        for attempt in self._attempts.in_flight.values():
            self._gates.record_if_late(attempt)
        self._silence.check()
        self._hedging.send_due()
        self._steps.step_if_due()

    def _resume_waiting(self) -> None:
        """Try the requests that have waited longest; one that must wait again queues behind the others."""
        due = self._requests.due(self._context.now_ms)
        for request in due[:RESUMED_PER_TICK]:
            self._requests.resume(request)
            self._dispatcher.dispatch(request)
