"""Rule 5: requests for purged objects exclude copies that are older than the purge."""

from __future__ import annotations

import pytest

from tests.helpers import (
    RouterDriver,
    attempt_of,
)
from thornjunction import interface as api


@pytest.mark.parametrize("key", [5, None])
def test_requests_for_purged_objects_exclude_older_copies(key: int | None) -> None:
    driver = RouterDriver()
    driver.handle(api.PurgeReceived(group=3, age_ms=200.0, key=key))
    purged_at_ms = driver.now_ms - 200.0
    for elapsed_ms in (0.0, 100.0, 2000.0, 3600.0):
        driver.advance(elapsed_ms)
        for class_name in ("films", "pages"):
            attempt = attempt_of(driver.request(5, class_name, group=3))
            assert 0 < attempt.max_age_ms <= driver.now_ms - purged_at_ms
            driver.end_attempt(attempt)
        unpurged = attempt_of(driver.request(6, group=4))
        assert unpurged.max_age_ms == 0
        driver.end_attempt(unpurged)
    driver.advance(200.0)
    assert attempt_of(driver.request(5, group=3)).max_age_ms == 0


def test_purges_evicted_from_the_table_apply_to_every_object() -> None:
    driver = RouterDriver()
    for key in range(6000):
        driver.handle(api.PurgeReceived(group=1, age_ms=0.0, key=key))
    assert len(driver.router.state.purges.purged_at_ms) < 6000
    driver.advance(1000.0)
    assert 0 < attempt_of(driver.request(0, group=1)).max_age_ms <= 1000.0
