"""The queue of deadlines: its order, cancellation and capacity."""

from __future__ import annotations

import math

import pytest

from thornjunction.memory.deadlines import Deadlines, TooManyDeadlinesError


def do_nothing() -> None:
    pass


def test_due_deadlines_run_in_order_unless_cancelled() -> None:
    executed: list[str] = []
    deadlines = Deadlines(capacity=300)
    cancelled = deadlines.add(5.0, lambda: executed.append("cancelled"))

    def cancel_other() -> None:
        executed.append("first")
        deadlines.cancel(cancelled)

    deadlines.add(2.0, cancel_other)
    deadlines.add(5.0, lambda: executed.append("last"))
    deadlines.run_due(1.0)
    assert executed == []
    deadlines.run_due(9.0)
    assert executed == ["first", "last"]
    assert len(deadlines) == 0


def test_cancelled_deadlines_do_not_count_towards_the_capacity() -> None:
    deadlines = Deadlines(capacity=300)
    for _ in range(1000):
        deadlines.cancel(deadlines.add(7.0, do_nothing))
    assert len(deadlines) == 0
    assert deadlines.next_due() == math.inf


def test_a_full_queue_accepts_no_deadline() -> None:
    deadlines = Deadlines(capacity=300)
    for _ in range(300):
        deadlines.add(1.0, do_nothing)
    with pytest.raises(TooManyDeadlinesError):
        deadlines.add(1.0, do_nothing)
