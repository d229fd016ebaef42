"""The queue of deadlines: order, cancellation and bound."""

from __future__ import annotations

import math

import pytest

from thornjunction.memory.deadlines import Deadlines, TooManyDeadlinesError


def do_nothing() -> None:
    pass


def test_due_deadlines_run_in_order_unless_cancelled() -> None:
    ran: list[str] = []
    deadlines = Deadlines(capacity=300)
    cancelled = deadlines.add(5.0, lambda: ran.append("cancelled"))

    def run_first() -> None:
        ran.append("first")
        deadlines.cancel(cancelled)

    deadlines.add(2.0, run_first)
    deadlines.add(5.0, lambda: ran.append("last"))
    deadlines.run_due(1.0)
    assert ran == []
    deadlines.run_due(9.0)
    assert ran == ["first", "last"]
    assert len(deadlines) == 0


def test_cancelled_deadlines_take_no_room() -> None:
    deadlines = Deadlines(capacity=300)
    for _ in range(1000):
        deadlines.cancel(deadlines.add(7.0, do_nothing))
    assert len(deadlines) == 0
    assert deadlines.next_due() == math.inf


def test_the_queue_is_bounded() -> None:
    deadlines = Deadlines(capacity=300)
    for _ in range(300):
        deadlines.add(1.0, do_nothing)
    with pytest.raises(TooManyDeadlinesError):
        deadlines.add(1.0, do_nothing)
