"""The time that events take to reach every router."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

from fleet_scale.event_counters import Delivery
from fleet_scale.event_plan import EventPlan
from fleet_scale.line_fit import quantile


@dataclass(frozen=True, slots=True)
class Propagation:
    """Quantiles over the events of a plan; ``incomplete`` counts events that did not reach every router."""

    p50_ms: float
    p99_ms: float
    max_ms: float
    published: int
    incomplete: int


def measure_propagation(
    plan: EventPlan, deliveries: Mapping[int, Delivery], router_count: int
) -> Propagation:
    """Measure from the planned times, so that delays of discovery count as well."""
    complete = [
        number
        for number in plan.numbers()
        if number in deliveries and deliveries[number].router_count >= router_count
    ]
    times_ms = [(deliveries[number].last_s - plan.due_s(number)) * 1000.0 for number in complete]
    return Propagation(
        p50_ms=quantile(times_ms, 0.5),
        p99_ms=quantile(times_ms, 0.99),
        max_ms=max(times_ms, default=math.nan),
        published=plan.count,
        incomplete=plan.count - len(complete),
    )
