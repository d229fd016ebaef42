"""The state that all decision components share: estimates, limits, and the known requests and servers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from thornjunction import interface as api
from thornjunction.estimates import RequestSizes
from thornjunction.limits.idempotency import ExecutionTable
from thornjunction.limits.purges import Purges
from thornjunction.limits.retry_budget import RetryBudget
from thornjunction.limits.sent_requests import SentRequests
from thornjunction.policy.context import DecisionContext
from thornjunction.policy.fill_ranking import FillRanking
from thornjunction.policy.placement import Placement
from thornjunction.policy.requests import RequestTable
from thornjunction.policy.shared_gates import SharedGates


@dataclass(frozen=True, slots=True)
class DecisionState:
    """The state of one router between events, from which each decision component takes what it needs."""

    context: DecisionContext
    requests: RequestTable
    sizes: RequestSizes
    retry_budget: RetryBudget
    executions: ExecutionTable
    sent_requests: SentRequests
    purges: Purges
    gates: SharedGates
    ranking: FillRanking
    placement: Placement

    def adopt(self, settings: api.Settings) -> None:
        """Use these settings from now on; open requests keep those that they were admitted under."""
        self.context.adopt(settings)
        self.purges.propagation_ms = settings.purge_propagation_ms
        self.retry_budget.adopt(settings.router_count)
        self.placement.adopt(settings)


def new_state(settings: api.Settings, draw: Callable[[], float], router_hash: int) -> DecisionState:
    """Return the state of a router that has seen no event.

    ``draw`` gives random numbers in [0, 1); ``router_hash`` distinguishes this router from the others of its
    site.
    """
    context = DecisionContext(settings, draw)
    ranking = FillRanking(draw)
    return DecisionState(
        context=context,
        requests=RequestTable(),
        sizes=RequestSizes(),
        retry_budget=RetryBudget(settings.router_count),
        executions=ExecutionTable(),
        sent_requests=SentRequests(),
        purges=Purges(),
        gates=SharedGates(context),
        ranking=ranking,
        placement=Placement(settings, ranking.mean_fetch_ms, draw, router_hash),
    )
