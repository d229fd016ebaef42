"""The router: passes each event to the component that handles it.

Settings, events and actions are in ``thornjunction.interface``. An ordinary request is routed as in Song et
al., section 3: an edge cache by a hash of the object, one of two hashed parents as the source of its fill,
and a rank at which it is cached.
"""

from __future__ import annotations

import math
import random

from thornjunction import interface as api
from thornjunction.policy.admission import RequestAdmission
from thornjunction.policy.attempts import AttemptLifecycle
from thornjunction.policy.completion import Completion
from thornjunction.policy.dispatch import Dispatcher
from thornjunction.policy.fetch_plan import FetchPlanner
from thornjunction.policy.hedging import Hedging
from thornjunction.policy.outcomes import OutcomeLearning
from thornjunction.policy.periodic import TICK_TOKEN, PeriodicTasks
from thornjunction.policy.retry_policy import RetryPolicy
from thornjunction.policy.state import new_state
from thornjunction.policy.subsetting import router_hash


class Router:
    """Makes the decisions of one router process; call ``handle`` with events in the order of their times.

    ``name`` identifies the router within its fleet and stays the same after a restart; it may be empty.
    """

    def __init__(self, settings: api.Settings, seed: int, name: str = "") -> None:
        """Create the decision components. The same seed, name and events give the same actions."""
        self.random = random.Random(seed)
        state = new_state(settings, self.random.random, router_hash(name, seed))
        self.state = state
        self._context = state.context
        planner = FetchPlanner(state.context, state.placement, state.gates, state.purges, state.ranking)
        self.attempts = AttemptLifecycle(
            state.context, state.placement, planner, state.retry_budget, state.executions, state.sent_requests
        )
        self.hedging = Hedging(state.context, self.attempts, state.placement, state.gates, state.retry_budget)
        retry_policy = RetryPolicy(
            state.context, state.placement, state.retry_budget, state.executions, state.sent_requests
        )
        self.completion = Completion(state.context, state.requests)
        self.dispatcher = Dispatcher(state, retry_policy, self.attempts, self.completion, self.hedging)
        self.learning = OutcomeLearning(state.context, state.gates, state.ranking, state.sizes)
        self.admission = RequestAdmission(state, self.dispatcher, self.completion)
        self.periodic = PeriodicTasks(state, self.dispatcher, self.attempts, self.hedging)
        self._adopt(settings)

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Handle one event at its time in ms; return the actions to carry out, in order.

        Events of requests and attempts that are unknown or have ended are ignored.
        """
        is_first = self._context.now_ms == -math.inf
        self._context.begin_event(now)
        if is_first:
            self.periodic.tick()
        match event:
            case api.Request():
                self.admission.admit(event)
            case api.ExecutionsReported():
                self.state.executions.report(event)
            case api.AttemptEnded():
                self._attempt_ended(event)
            case api.TimerFired():
                self._timer_fired(event.token)
            case api.EndpointListUpdate():
                self.state.placement.update(event, self._context.now_ms)
            case api.PurgeReceived():
                self.state.purges.add(event, self._context.now_ms)
            case api.Settings():
                self._adopt(event)
            case api.RequestExpired() | api.ClientDisconnected():
                self._end_early(event)
        return self._context.actions

    def _end_early(self, event: api.RequestExpired | api.ClientDisconnected) -> None:
        request = self.state.requests.open.get(event.request_id)
        if request is None:
            return
        if isinstance(event, api.RequestExpired):
            self.completion.give_up(request)
        else:
            self.completion.close(request)

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
        """Use these settings from now on; open requests keep those that they were admitted under."""
        self.state.adopt(settings)
        self.admission.adopt(settings)
