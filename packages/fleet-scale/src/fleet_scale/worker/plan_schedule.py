"""A queue that merges the events of several plans in order of their due times."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field

from fleet_scale.event_plan import EventPlan, PurgePlan


@dataclass(frozen=True, slots=True, order=True)
class ScheduledEvent:
    """The next event of a plan; of events due at the same time, that of the plan added first precedes."""

    due_s: float
    plan_index: int
    plan: EventPlan = field(compare=False)
    number: int = field(compare=False)


class PlanSchedule:
    """The plans that have events left, ordered by the due time of their next event."""

    def __init__(self) -> None:
        self._events: list[ScheduledEvent] = []
        self._plan_count = 0

    def __len__(self) -> int:
        return len(self._events)

    @property
    def next_due_s(self) -> float | None:
        """When the next event is due; None if no event is left."""
        return self._events[0].due_s if self._events else None

    def add(self, plan: EventPlan) -> None:
        """Schedule the events of a plan."""
        self._plan_count += 1
        if plan.count:
            self._push(plan, self._plan_count, plan.first)

    def take_due(self, now_s: float) -> Iterator[ScheduledEvent]:
        """Remove and yield each event due by ``now_s``; a history yields only its first event, for all."""
        while self._events and self._events[0].due_s <= now_s:
            event = heapq.heappop(self._events)
            yield event
            plan = event.plan
            if isinstance(plan, PurgePlan) and plan.is_history:
                continue
            if event.number + 1 < plan.first + plan.count:
                self._push(plan, event.plan_index, event.number + 1)

    def _push(self, plan: EventPlan, plan_index: int, number: int) -> None:
        heapq.heappush(self._events, ScheduledEvent(plan.due_s(number), plan_index, plan, number))
