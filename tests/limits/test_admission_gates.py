"""Gates before caches, fills and the origin: what shuts and opens them, and who gives way first."""

from __future__ import annotations

from tests.helpers import EDGES, ORIGIN, RouterDriver, actions_of, attempt_of, final_actions
from thornjunction import interface as api

FILLED = api.FillResult.FILLED


def test_late_hits_shut_a_caches_gate_and_the_rest_is_refused() -> None:
    """Overload: what cannot be served in time is rejected at once, and writes go on."""
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
    assert actions_of(driver.request(class_name="keyed"), api.StartAttempt)  # writes are small and worth most


def test_gates_open_again_when_answers_come_in_time() -> None:
    driver = RouterDriver()
    for took in (4000.0, 100.0):
        for key in range(600):
            for attempt in actions_of(driver.request(key), api.StartAttempt):
                driver.end_attempt(attempt, elapsed_ms=took)
    assert sum(len(actions_of(driver.request(key), api.StartAttempt)) for key in range(200)) == 200


def test_late_fills_turn_requests_into_looks_and_shut_no_cache() -> None:
    """A front of many cannot know what its neighbours had filled; the cache does, so it is asked."""
    driver = RouterDriver()
    for key in range(200):
        attempt = attempt_of(driver.request(key))
        if attempt.source == attempt.server:
            driver.end_attempt(attempt, api.AttemptStatus.CACHE_MISS)
        else:
            driver.end_attempt(attempt, elapsed_ms=4000.0, fill_result=FILLED, fill_first_byte_ms=3500.0)
    started = [attempt_of(driver.request(key)) for key in range(1000, 1200)]
    looks = [attempt for attempt in started if attempt.source == attempt.server]
    assert 150 < len(looks) < 200
    assert not driver.end_attempt(looks[0])
    assert final_actions(driver.end_attempt(looks[1], api.AttemptStatus.CACHE_MISS)) == [
        api.RejectRequest(looks[1].request_id)
    ]


def test_a_fill_counts_as_late_as_soon_as_its_aim_has_passed() -> None:
    """A jam must not be learnt from the answers that it holds back."""
    driver = RouterDriver()
    for key in range(40):
        driver.request(key)
    driver.advance(1500.0)
    looks = [
        attempt for key in range(1000, 1040) for attempt in actions_of(driver.request(key), api.StartAttempt)
    ]
    assert sum(attempt.source == attempt.server for attempt in looks) > 30


def test_failed_fills_count_as_late() -> None:
    """An origin that fails behind every parent is asked less, or it never recovers."""
    driver = RouterDriver()
    for key in range(60):
        for attempt in actions_of(driver.request(key), api.StartAttempt):
            driver.end_attempt(
                attempt, api.AttemptStatus.OVERLOADED, fill_result=api.FillResult.ORIGIN_FAILED
            )
    assert driver.router.state.gates.fills.share < 0.2


def test_a_failing_origin_leaves_parents_to_give_what_they_hold() -> None:
    """Asked on, it stays jammed after its trouble has passed; what parents hold must not wait for that."""
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
    missed = next(attempt for attempt in started if attempt.cached_only)
    actions = driver.end_attempt(missed, api.AttemptStatus.CACHE_MISS, fill_result=api.FillResult.SOURCE_MISS)
    assert final_actions(actions) == [api.RejectRequest(missed.request_id)]


def test_large_requests_give_way_first_at_a_gate_and_within_a_class_by_little() -> None:
    """Links carry bytes: one large fill less serves many small requests.  But no one is starved by size."""
    driver = RouterDriver(entries=(*EDGES, ORIGIN))
    class_sizes = (("films", 100.0), ("films", 3000.0), ("pages", 50.0))

    def ask(key: int) -> tuple[tuple[str, float], api.StartAttempt]:
        class_and_size = class_sizes[key % 3]
        return class_and_size, attempt_of(driver.request(key, class_and_size[0], size_kb=class_and_size[1]))

    for key in range(90):
        driver.end_attempt(ask(key)[1])
    driver.router.state.gates.fills.share = 0.6
    filled = dict.fromkeys(class_sizes, 0)
    for key in range(1000, 1900):
        class_and_size, attempt = ask(key)
        filled[class_and_size] += attempt.source != attempt.server
    small, large, pages = filled.values()
    assert pages > 250 > 120 > large > (small + large) / 4  # half of their mean
