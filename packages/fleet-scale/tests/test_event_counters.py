"""Records of received events, and of the purges that one router received."""

from __future__ import annotations

from fleet_scale.event_counters import Delivery, DeliveryCounters, ReceivedPurges, merge_deliveries
from fleet_scale.event_plan import EventKind


def test_deliveries_of_several_processes_are_merged_and_repeated_purges_are_counted() -> None:
    first = DeliveryCounters()
    second = DeliveryCounters()
    first.record(EventKind.PURGE, 5, 1.0)
    first.record(EventKind.PURGE, 5, 3.0)
    second.record(EventKind.PURGE, 5, 2.0)
    merged = merge_deliveries([counters.in_range(EventKind.PURGE, 0, 9) for counters in (first, second)])
    assert merged == {5: Delivery(3, 1.0, 3.0)}
    received = ReceivedPurges()
    assert [received.add(number) for number in (0, 5000, 5000, 3)] == [True, True, False, True]
    assert (received.count, received.repeated, received.highest) == (3, 1, 5000)
