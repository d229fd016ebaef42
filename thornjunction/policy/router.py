"""The router: hands each event to the part that decides on it.

Settings, events and actions are in ``thornjunction.interface``. The ordinary path follows Song et al.,
section 3: an edge cache by a hash of the object, one of two hashed parents as the source of its fill, and
a rank at which it is cached.
"""

from __future__ import annotations

import math
import random

from thornjunction import interface as api
from thornjunction.estimates import RequestSizes
from thornjunction.limits.idempotency import ExecutionTable
from thornjunction.limits.purges import Purges
from thornjunction.limits.retry_budget import RetryBudget
from thornjunction.policy.admission import RequestAdmission
from thornjunction.policy.attempts import AttemptLifecycle
from thornjunction.policy.completion import Completion
from thornjunction.policy.context import DecisionContext
from thornjunction.policy.dispatch import Dispatcher
from thornjunction.policy.fetch_plan import FetchPlanner
from thornjunction.policy.fill_ranking import FillRanking
from thornjunction.policy.hedging import Hedging
from thornjunction.policy.outcomes import OutcomeLearning
from thornjunction.policy.periodic import TICK_TOKEN, EstimateSteps, PeriodicTasks
from thornjunction.policy.placement import Placement
from thornjunction.policy.requests import RequestTable
from thornjunction.policy.retry_policy import RetryPolicy
from thornjunction.policy.shared_gates import SharedGates
from thornjunction.policy.silence import SilenceDetector
from thornjunction.policy.subsetting import router_hash


class Router:
    """Decides for one process of a router; call ``handle`` with events in the order of their times.

    ``name`` tells the router from the others of its fleet and lasts through restarts; it may be empty.
    """

    def __init__(self, settings: api.Settings, seed: int, name: str = "") -> None:
        """Build the parts. The same seed, name and events give the same actions."""
        self.random = random.Random(seed)
        draw = self.random.random
        context = DecisionContext(settings, draw)
        self.context = context
        self.requests = RequestTable()
        self.sizes = RequestSizes()
        self.retry_budget = RetryBudget(settings.router_count)
        self.executions = ExecutionTable()
        self.purges = Purges()
        self.gates = SharedGates(context)
        self.ranking = FillRanking(draw)
        self.placement = Placement(settings, self.ranking.mean_fetch_ms, draw, router_hash(name, seed))
        slow_start = self.placement.slow_start
        planner = FetchPlanner(context, self.placement, self.gates, self.purges, self.ranking)
        self.attempts = AttemptLifecycle(context, self.placement, planner, self.retry_budget, self.executions)
        self.hedging = Hedging(context, self.attempts, self.placement, self.gates, self.retry_budget)
        retry_policy = RetryPolicy(context, self.placement, self.retry_budget, self.executions)
        self.completion = Completion(context, self.requests)
        self.dispatcher = Dispatcher(
            context, self.requests, retry_policy, self.attempts, self.completion, self.hedging
        )
        self.learning = OutcomeLearning(context, self.gates, self.ranking, self.sizes)
        self.admission = RequestAdmission(
            context,
            self.requests,
            self.dispatcher,
            self.completion,
            self.sizes,
            self.ranking,
            slow_start,
            self.retry_budget,
        )
        silence = SilenceDetector(context, self.requests, self.attempts, self.retry_budget)
        steps = EstimateSteps(context, self.gates, self.ranking, slow_start)
        self.periodic = PeriodicTasks(
            context, self.requests, self.dispatcher, self.attempts, self.gates, silence, self.hedging, steps
        )
        self._adopt(settings)

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Take in one event at its time in ms; return the actions to carry out, in order.

        Events of requests and attempts that are not known, or no longer, are ignored.
        """
        is_first = self.context.now_ms == -math.inf
        self.context.begin_event(now)
        if is_first:
            self.periodic.tick()
        match event:
            case api.Request():
                self.admission.admit(event)
            case api.AttemptEnded():
                self._attempt_ended(event)
            case api.TimerFired():
                self._timer_fired(event.token)
            case api.EndpointListUpdate():
                self.placement.update(event, self.context.now_ms)
            case api.PurgeReceived():
                self.purges.add(event, self.context.now_ms)
            case api.Settings():
                self._adopt(event)
            case api.RequestExpired() if event.request_id in self.requests.open:
                self.completion.give_up(self.requests.open[event.request_id])
            case api.ClientDisconnected() if event.request_id in self.requests.open:
                self.completion.close(self.requests.open[event.request_id])
        return self.context.actions

    def _attempt_ended(self, event: api.AttemptEnded) -> None:
        attempt = self.attempts.end(event)
        if attempt is None:
            return
        self.learning.learn(event, attempt)
        self.attempts.withdraw_execution(attempt, event.status)
        self.dispatcher.attempt_ended(event, attempt)

    def _timer_fired(self, token: int) -> None:
        if token == TICK_TOKEN:
            self.periodic.tick()
        else:
            self.admission.deadline_passed(token)

    def _adopt(self, settings: api.Settings) -> None:
        """Hand the settings to the parts that decide by them; open requests keep those they came under."""
        self.context.adopt(settings)
        self.purges.propagation_ms = settings.purge_propagation_ms
        self.retry_budget.adopt(settings.router_count)
        self.placement.adopt(settings)
        self.admission.adopt(settings)
