"""Counters of received events, and the purges that first router observed."""

from __future__ import annotations

from fleet_scale.event_counters import Delivery, DeliveryCounters, PurgeObservations, merge_deliveries
from fleet_scale.event_plan import EventKind


def test_deliveries_of_processes_add_up_and_repeats_are_counted() -> None:
    first = DeliveryCounters()
    second = DeliveryCounters()
    first.record(EventKind.PURGE, 5, 1.0)
    first.record(EventKind.PURGE, 5, 3.0)
    second.record(EventKind.PURGE, 5, 2.0)
    merged = merge_deliveries([counters.between(EventKind.PURGE, 0, 9) for counters in (first, second)])
    assert merged == {5: Delivery(3, 1.0, 3.0)}
    observed = PurgeObservations()
    assert [observed.add(number) for number in (0, 5000, 5000, 3)] == [True, True, False, True]
    assert (observed.count, observed.repeated, observed.highest) == (3, 1, 5000)
