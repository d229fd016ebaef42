"""Plans of events: the numbers and times of their events."""

from __future__ import annotations

from fleet_scale.event_plan import ChangePlan, PurgePlan, change_of_weight, weight_of_change


def test_plans_number_events_in_order_of_their_times() -> None:
    purges = PurgePlan(start_s=10.0, purges_per_s=4.0, count=8, first=100)
    assert (purges.due_s(100), purges.due_s(104), purges.end_s) == (10.0, 11.0, 11.75)
    history = PurgePlan(start_s=10.0, purges_per_s=0.0, count=4, first=0, history_s=3600.0)
    assert [history.due_s(number) for number in history.numbers()] == [10.0] * 4
    assert [history.issued_s(number) for number in history.numbers()] == [-2690.0, -1790.0, -890.0, 10.0]
    changes = ChangePlan(start_s=0.0, interval_s=2.0, count=4, first=1)
    assert [(changes.server_index(number, 10), changes.health(number)) for number in changes.numbers()] == [
        (0, "leaving"), (0, "active"), (7, "leaving"), (7, "active"),
    ]  # fmt: skip
    assert all(change_of_weight(weight_of_change(number)) == number for number in (0, 1, 7, 100_000))
