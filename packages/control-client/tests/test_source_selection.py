"""Which source is polled: each reason to switch, the return to a preferred source, and their bounds."""

from __future__ import annotations

from itertools import pairwise

import pytest
from control_client import (
    InvalidSourcesError,
    InvalidTimingError,
    PollAnswered,
    PollSent,
    SelectionTimings,
    SourceSelector,
    StopPolling,
    SwitchReason,
)
from sansio_core import Started, TimerFired
from selection_simulation import TIMINGS, SelectionSimulation, SourceMode

SWITCH_WITHIN_MS = 2000.0
"""Maximum time until a router polls another source."""

MINUTE_MS = 60_000.0


@pytest.mark.parametrize("mode", [SourceMode.DEAD, SourceMode.HUNG, SourceMode.NO_STATE])
def test_source_that_does_not_answer_is_replaced_by_the_next(mode: SourceMode) -> None:
    simulation = SelectionSimulation(3)
    simulation.run(5000.0)
    simulation.set_mode(0, mode)
    failed_at = simulation.now
    simulation.run(SWITCH_WITHIN_MS)
    assert simulation.polled_sources() == [0, 1]
    assert simulation.poll_starts[1].at_ms - failed_at < SWITCH_WITHIN_MS


def test_several_failed_sources_are_skipped() -> None:
    simulation = SelectionSimulation(3)
    simulation.set_mode(0, SourceMode.DEAD)
    simulation.set_mode(1, SourceMode.NO_STATE)
    simulation.run(100.0)
    assert simulation.polled_sources() == [0, 1, 2]
    assert simulation.current() == 2


def test_consecutive_timeouts_give_slow_sources_more_time() -> None:
    simulation = SelectionSimulation(2)
    simulation.run(5000.0)
    simulation.set_mode(0, SourceMode.HUNG)
    simulation.set_mode(1, SourceMode.HUNG)
    simulation.run(MINUTE_MS)
    timeouts = [start.at_ms for start in simulation.poll_starts if start.reason == SwitchReason.TIMEOUT]
    gaps = [later - earlier for earlier, later in pairwise(timeouts)]
    assert 2 * TIMINGS.response_timeout_ms <= gaps[0] < gaps[1]
    assert max(gaps) <= TIMINGS.max_response_timeout_ms + TIMINGS.retry_ms
    assert len(timeouts) <= MINUTE_MS / TIMINGS.max_response_timeout_ms + 3
    simulation.set_mode(1, SourceMode.UP)
    simulation.run(2 * TIMINGS.max_response_timeout_ms)
    assert simulation.current() == 1
    simulation.set_mode(0, SourceMode.UP)
    simulation.set_mode(1, SourceMode.HUNG)
    hung_at = simulation.now
    simulation.run(SWITCH_WITHIN_MS)  # an answer has reset the response timeout
    assert simulation.poll_starts[-1].at_ms - hung_at < SWITCH_WITHIN_MS
    assert simulation.current() == 0


def test_degraded_source_is_replaced_by_a_fresher_one() -> None:
    simulation = SelectionSimulation(3)
    simulation.run(5000.0)
    simulation.set_stale(0, simulation.now)
    degraded_at = simulation.now + TIMINGS.degraded_age_ms
    simulation.run(TIMINGS.degraded_age_ms + SWITCH_WITHIN_MS)
    assert simulation.polled_sources() == [0, 1]
    assert simulation.poll_starts[1].at_ms - degraded_at < SWITCH_WITHIN_MS


def test_freshest_source_is_polled_where_all_are_degraded() -> None:
    simulation = SelectionSimulation(3)
    simulation.run(5000.0)
    for index, ago_ms in enumerate((9000.0, 4000.0, 9000.0)):
        simulation.set_stale(index, simulation.now - ago_ms)
    simulation.run(SWITCH_WITHIN_MS)
    assert simulation.current() == 1
    simulation.probes.clear()
    simulation.run(10.0 * MINUTE_MS)
    assert simulation.polled_sources() == [0, 1]
    assert 2 * 30 <= len(simulation.probes) <= 2 * 100  # 30 to 100 probes of each alternative in ten minutes
    simulation.stale_since.pop(simulation.addresses[2])
    simulation.run(TIMINGS.max_probe_interval_ms + 1.0)
    assert simulation.current() == 2


def test_no_switch_where_all_sources_are_equally_degraded() -> None:
    simulation = SelectionSimulation(2)
    simulation.run(5000.0)
    for index in range(2):
        simulation.set_stale(index, simulation.now - 300.0 * (1 - index))
    simulation.run(5.0 * MINUTE_MS)
    assert simulation.polled_sources() == [0]


def test_stale_source_is_replaced_by_a_fresher_one() -> None:
    simulation = SelectionSimulation(2)
    simulation.run(5000.0)
    # Not degraded by its age, but older than the current list.
    simulation.set_stale(0, simulation.now - 1500.0)
    simulation.feed(PollAnswered(simulation.addresses[0], 1500.0, is_stale=True))
    simulation.run(10.0)
    assert simulation.current() == 1


def test_return_to_the_preferred_source_after_its_recovery_is_spread() -> None:
    returns = []
    for seed in range(200):
        simulation = SelectionSimulation(2, seed=seed)
        simulation.run(5000.0)
        simulation.set_mode(0, SourceMode.DEAD)
        simulation.run(1000.0)
        simulation.set_mode(0, SourceMode.UP)
        up_at = simulation.now
        simulation.run(2.0 * TIMINGS.recovery_ms + TIMINGS.return_spread_ms)
        assert simulation.polled_sources() == [0, 1, 0], simulation.poll_starts
        assert simulation.poll_starts[-1].reason == "back"
        assert simulation.selector.switches == 2
        returns.append(simulation.poll_starts[-1].at_ms - up_at)
    assert min(returns) >= TIMINGS.recovery_ms
    most_per_second = max(sum(start <= at < start + 1000.0 for at in returns) for start in returns)
    assert most_per_second <= 40, f"{most_per_second} of 200 returns within one second"


def test_failed_probe_restarts_the_recovery_time() -> None:
    simulation = SelectionSimulation(2)
    simulation.set_mode(0, SourceMode.DEAD)
    simulation.run(100.0)
    for _ in range(20):
        simulation.set_mode(0, SourceMode.UP)
        simulation.run(0.6 * TIMINGS.recovery_ms)
        simulation.set_mode(0, SourceMode.DEAD)
        simulation.run(2.0 * TIMINGS.max_probe_interval_ms)
    assert simulation.polled_sources() == [0, 1]


def test_returns_to_a_flapping_source_become_rarer() -> None:
    simulation = SelectionSimulation(2)
    while simulation.now < 60.0 * MINUTE_MS:
        simulation.run(100.0)
        if simulation.current() == 0:
            simulation.run(3000.0)
            simulation.set_mode(0, SourceMode.DEAD)
            simulation.run(100.0)
            simulation.set_mode(0, SourceMode.UP)
    assert 10 <= simulation.selector.switches <= 60  # in an hour; about 300 with a constant recovery time


def test_alternating_ages_cause_few_switches() -> None:
    simulation = SelectionSimulation(2)
    while simulation.now < 10.0 * MINUTE_MS:
        current = simulation.current()
        simulation.set_stale(current, simulation.now - 5000.0)
        simulation.stale_since.pop(simulation.addresses[1 - current], None)
        simulation.run(3000.0)
    assert simulation.selector.switches <= 40  # 200 with a constant switch interval


def test_outage_of_all_sources_causes_few_connections_and_is_left_promptly() -> None:
    for first in range(3):
        simulation = SelectionSimulation(3)
        simulation.run(5000.0)
        for index in range(3):
            simulation.set_mode(index, SourceMode.DEAD)
        simulation.poll_starts.clear()
        simulation.run(MINUTE_MS)
        assert 3 * 25 <= len(simulation.poll_starts) <= 3 * 70
        simulation.set_mode(first, SourceMode.UP)
        simulation.run(SWITCH_WITHIN_MS)
        assert simulation.current() == first
        simulation.run(0.9 * TIMINGS.recovery_ms)
        assert simulation.current() == first


def test_siblings_are_polled_only_where_no_upstream_answers() -> None:
    simulation = SelectionSimulation(2, siblings=2)
    simulation.set_mode(0, SourceMode.DEAD)
    simulation.run(MINUTE_MS)
    simulation.set_stale(1, simulation.now - 9000.0)
    simulation.run(MINUTE_MS)
    assert set(simulation.polled_sources()) == {0, 1}
    assert {probe.source for probe in simulation.probes} <= {0, 1}
    simulation.set_mode(1, SourceMode.NO_STATE)
    simulation.run(SWITCH_WITHIN_MS)
    assert simulation.current() == 2
    simulation.set_mode(2, SourceMode.HUNG)
    simulation.run(SWITCH_WITHIN_MS)
    assert simulation.current() == 3
    simulation.stale_since.clear()
    simulation.set_mode(1, SourceMode.UP)
    simulation.run(TIMINGS.max_probe_interval_ms + TIMINGS.sibling_return_spread_ms)
    assert simulation.current() == 1


def test_upstream_that_fails_once_is_retried_before_a_sibling() -> None:
    simulation = SelectionSimulation(1, siblings=1)
    simulation.run(5000.0)
    simulation.set_mode(0, SourceMode.DEAD)
    simulation.set_mode(0, SourceMode.UP)
    simulation.run(SWITCH_WITHIN_MS)
    assert simulation.polled_sources() == [0, 0]


def test_late_timer_grants_a_grace_period_before_a_timeout() -> None:
    source = ("a", 1)
    selector = SourceSelector([source, ("b", 1)], lambda: 0.5)
    selector.handle(0.0, Started())
    selector.handle(1.0, PollAnswered(source, 0.0))
    selector.handle(1.0, PollSent(source))
    actions = selector.handle(60_000.0, TimerFired(selector._timer_token))
    assert not [action for action in actions if isinstance(action, StopPolling)]
    selector.handle(60_001.0, PollAnswered(source, 0.0))
    selector.handle(60_001.0, PollSent(source))
    assert selector.current is not None
    assert selector.current.address == source


def test_invalid_sources_and_timings_raise() -> None:
    for addresses in ([], [("a", 1)] * 2, [("a", port) for port in range(17)]):
        with pytest.raises(InvalidSourcesError, match="sources"):
            SourceSelector(addresses, lambda: 0.0)
    with pytest.raises(InvalidTimingError, match="response_timeout_ms"):
        SelectionTimings(response_timeout_ms=0.0)
