"""Received Unix times are mapped to the core's clock even if the machine's wall clock is wrong."""

from __future__ import annotations

import time
from dataclasses import replace
from typing import Any
from unittest.mock import patch

import pytest
from fakes.watch_messages import edge_entry

from tests.net.discovery.builders import build_service, encode_commands
from thornjunction import interface as api
from thornjunction.net.event_loop.timer_service import core_ms
from thornjunction.net.event_loop.unix_clock import UnixClock
from thornjunction.net.wire.commands import Purge, decode_commands
from thornjunction.runtime.service import Service

# The true Unix time, and the offset of the core's clock from it.
TRUE_UNIX_S = 1.8e9
CORE_OFFSET_MS = 1e12

# Greatest age in milliseconds that has an effect.
RECENT_MS = 10_000.0

# Seconds by which the wall clock is ahead at the start.
HOUR_S = 3600.0

# Each row, in seconds: the error of the machine's clock at the start, its error later, the true age of an
# event that discovery reports, and the age that is computed for it.  Ages over 10 s have no effect.
AGES_S = [
    (0.0, 0.0, 3.0, 3.0),
    (0.0, -3600.0, 3.0, 3.0),
    (0.0, 3600.0, 3.0, 3.0),
    (0.0, -5.0, 3.0, 3.0),
    (0.0, 5.0, 3.0, 3.0),
    (0.0, -3600.0, 50.0, 50.0),
    (0.0, 3600.0, 3000.0, 3000.0),
    # Reported late, or by a discovery whose clock was stepped too: the lower of the two possible ages.
    (0.0, -5.0, 7.0, 2.0),
    # Discovery's clock is slightly ahead.
    (0.0, 0.0, -0.3, 0.0),
    (0.0, 5.0, -0.3, 0.0),
    # The clock was wrong at the start and is right now.
    (-3600.0, 0.0, 3.0, 3.0),
    (3600.0, 0.0, 3.0, 3.0),
    # The clock is still wrong, and the event appears to be in the future: its age is taken as 0.
    (-3600.0, -3600.0, 3.0, 0.0),
    # The clock is wrong in the other direction, which is indistinguishable from an event reported late.
    (3600.0, 3600.0, 3.0, 3603.0),
]


@pytest.mark.parametrize(("start_offset_s", "later_offset_s", "true_age_s", "age_s"), AGES_S)
def test_event_age_with_a_wrong_wall_clock(
    start_offset_s: float, later_offset_s: float, true_age_s: float, age_s: float
) -> None:
    offset_s = start_offset_s
    core_now_ms = TRUE_UNIX_S * 1000.0 - CORE_OFFSET_MS
    unix_clock = UnixClock(lambda: core_now_ms, lambda: TRUE_UNIX_S + offset_s)
    offset_s = later_offset_s
    for _ in range(2):
        event_ms = unix_clock.to_core((TRUE_UNIX_S - true_age_s) * 1000.0, recent_ms=RECENT_MS)
        assert (core_now_ms - event_ms) / 1000.0 == pytest.approx(age_s, abs=0.001)


@pytest.fixture
def service_with_wrong_clock() -> Service:
    """A service that was built while the wall clock was an hour ahead; the clock is right afterwards."""
    true_time = time.time
    offset_s = HOUR_S
    with patch("time.time", lambda: true_time() + offset_s):
        service: Service = build_service()
    offset_s = 0.0
    settings = replace(service.config.settings, purge_propagation_ms=6000.0)
    service.config = replace(service.config, settings=settings)
    return service


def engine_event(service: Service, command: Any) -> api.Event:
    """Return the engine's event for a command from discovery."""
    events: list[api.Event] = []
    with patch.object(service.engine, "feed", events.append):
        service.handle_command(command)
    service.timer_service.stop()
    (event,) = events
    return event


def test_a_purge_stays_in_force_if_the_clock_was_ahead_at_the_start(
    service_with_wrong_clock: Service,
) -> None:
    event = engine_event(service_with_wrong_clock, Purge(1, 1, 0, time.time() * 1000.0))
    assert isinstance(event, api.PurgeReceived)
    assert 0.0 <= event.age_ms < 1000.0


def test_a_new_cache_is_in_slow_start_if_the_clock_was_ahead_at_the_start(
    service_with_wrong_clock: Service,
) -> None:
    host = edge_entry("c1", born_ms=time.time() * 1000.0)
    (change,) = decode_commands(encode_commands({"cursor": 1, "nodes": {"hosts": [host]}})).events
    event = engine_event(service_with_wrong_clock, change)
    assert isinstance(event, api.EndpointListUpdate)
    assert 0.0 <= core_ms() - event.entries[0].started_ms < 1000.0
