"""Requests of any announced size, and a clock that steps back."""

from __future__ import annotations

import math

import pytest

from tests.helpers import (
    RouterDriver,
    attempt_of,
    final_actions,
)


@pytest.mark.parametrize("size", [0.0, -1.0, 1e12, math.inf, math.nan])
def test_a_request_of_any_announced_size_gets_a_decision(size: float) -> None:
    driver = RouterDriver()
    driver.end_attempt(attempt_of(driver.request(1)))
    assert attempt_of(driver.request(2, size_kb=size)).retention_rank in (1, 2, 3)


def test_a_clock_that_steps_back_is_treated_as_stopped() -> None:
    driver = RouterDriver()
    attempt = attempt_of(driver.request())
    driver.now_ms -= 900.0
    assert not final_actions(driver.end_attempt(attempt))
    assert attempt_of(driver.request(2))
