"""Gates of caches, fills and the origin: what shuts and opens them, and which requests they reject first."""

from __future__ import annotations

from tests.helpers import EDGES, ORIGIN, RouterDriver, actions_of, attempt_of, final_actions
from thornjunction import interface as api

FILLED = api.FillResult.FILLED


def test_late_hits_shut_a_caches_gate_and_further_requests_are_rejected() -> None:
    """In an overload, requests that would be late are rejected at once, but writes are still sent."""
    driver = RouterDriver()
    for key in range(400):
        for attempt in actions_of(driver.request(key), api.StartAttempt):
            driver.end_attempt(attempt, elapsed_ms=4000.0)
    actions = [action for key in range(200) for action in driver.request(key)]
    started_count = len(actions_of(actions, api.StartAttempt))
    rejected_count = len(actions_of(actions, api.RejectRequest))
    assert started_count + rejected_count == 200
    assert rejected_count > 100
    assert started_count >= 4
    # Writes are small and have the highest value.
    assert actions_of(driver.request(class_name="keyed"), api.StartAttempt)


def test_gates_open_again_when_answers_come_in_time() -> None:
    driver = RouterDriver()
    for elapsed_ms in (4000.0, 100.0):
        for key in range(600):
            for attempt in actions_of(driver.request(key), api.StartAttempt):
                driver.end_attempt(attempt, elapsed_ms=elapsed_ms)
    assert sum(len(actions_of(driver.request(key), api.StartAttempt)) for key in range(200)) == 200


def test_late_fills_restrict_requests_to_cached_copies_and_shut_no_caches_gate() -> None:
    """One of many routers does not know what others had filled; the cache does, so it still gets requests."""
    driver = RouterDriver()
    for key in range(200):
        attempt = attempt_of(driver.request(key))
        if attempt.source == attempt.server:
            driver.end_attempt(attempt, api.AttemptStatus.CACHE_MISS)
        else:
            driver.end_attempt(attempt, elapsed_ms=4000.0, fill_result=FILLED, fill_first_byte_ms=3500.0)
    started = [attempt_of(driver.request(key)) for key in range(1000, 1200)]
    attempts_without_fill = [attempt for attempt in started if attempt.source == attempt.server]
    assert 150 < len(attempts_without_fill) < 200
    assert not driver.end_attempt(attempts_without_fill[0])
    assert final_actions(driver.end_attempt(attempts_without_fill[1], api.AttemptStatus.CACHE_MISS)) == [
        api.RejectRequest(attempts_without_fill[1].request_id)
    ]


def test_a_fill_counts_as_late_as_soon_as_its_objective_has_passed() -> None:
    """An overload must be detected before the answers that it delays arrive."""
    driver = RouterDriver()
    for key in range(40):
        driver.request(key)
    driver.advance(1500.0)
    attempts_without_fill = [
        attempt for key in range(1000, 1040) for attempt in actions_of(driver.request(key), api.StartAttempt)
    ]
    assert sum(attempt.source == attempt.server for attempt in attempts_without_fill) > 30


def test_failed_fills_count_as_late() -> None:
    """An origin that fails for every parent must get fewer requests, or it never recovers."""
    driver = RouterDriver()
    for key in range(60):
        for attempt in actions_of(driver.request(key), api.StartAttempt):
            driver.end_attempt(
                attempt, api.AttemptStatus.OVERLOADED, fill_result=api.FillResult.ORIGIN_FAILED
            )
    assert driver.router.state.gates.fills.share < 0.2


def test_parents_answer_from_their_caches_while_the_origin_is_slow() -> None:
    """Under continued load it stays overloaded; objects that parents have cached must not wait for it."""
    driver = RouterDriver()
    for key in range(100):
        for attempt in actions_of(driver.request(key), api.StartAttempt):
            driver.end_attempt(attempt, fill_result=api.FillResult.FILLED_FROM_ORIGIN, elapsed_ms=4000.0)
            driver.router.state.gates.fills.share = 1.0  # only the origin is slow
    started = [attempt_of(driver.request(key)) for key in range(1000, 1100)]
    assert sum(attempt.cached_only for attempt in started) > 80
    assert not any(
        attempt.cached_only for attempt in [attempt_of(driver.request(7, "keyed")) for _ in range(20)]
    )
    missed_attempt = next(attempt for attempt in started if attempt.cached_only)
    actions = driver.end_attempt(
        missed_attempt, api.AttemptStatus.CACHE_MISS, fill_result=api.FillResult.SOURCE_MISS
    )
    assert final_actions(actions) == [api.RejectRequest(missed_attempt.request_id)]


def test_large_requests_are_rejected_first_but_only_a_little_more_often_within_a_class() -> None:
    """Each large fill takes the link bytes of many small ones.  But large requests still get a share."""
    driver = RouterDriver(entries=(*EDGES, ORIGIN))
    class_sizes = (("films", 100.0), ("films", 3000.0), ("pages", 50.0))

    def start(key: int) -> tuple[tuple[str, float], api.StartAttempt]:
        class_and_size = class_sizes[key % 3]
        return class_and_size, attempt_of(driver.request(key, class_and_size[0], size_kb=class_and_size[1]))

    for key in range(90):
        driver.end_attempt(start(key)[1])
    driver.router.state.gates.fills.share = 0.6
    filled = dict.fromkeys(class_sizes, 0)
    for key in range(1000, 1900):
        class_and_size, attempt = start(key)
        filled[class_and_size] += attempt.source != attempt.server
    small_films, large_films, pages = filled.values()
    assert pages > 250 > 120 > large_films > (small_films + large_films) / 4  # half of the mean of both
