"""Admission by the lateness of the event loop and the use of the processor."""

from __future__ import annotations

from thornjunction.core.load_shedding import MAX_OPEN_REQUESTS, MIN_ADMITTED_SHARE, LoadShedder


def test_without_samples_there_is_no_delay() -> None:
    """The ways to the client and back are not the request's."""
    assert LoadShedder(lambda: 0.5).read_delay_ms() == 0.0


def test_admission_falls_with_lateness_and_recovers() -> None:
    shedder = LoadShedder(lambda: 0.5)
    shedder.record_sample(1.0, 0.5)
    assert shedder.admits(0)
    for _ in range(50):
        shedder.record_sample(100.0, 0.7)
    assert shedder.read_delay_ms() == 100.0
    assert shedder.admitted_share == MIN_ADMITTED_SHARE
    assert not shedder.admits(0)
    for _ in range(100):
        shedder.record_sample(0.0, 0.5)
    assert shedder.admits(0)
    assert not shedder.admits(MAX_OPEN_REQUESTS)
    for _ in range(30):
        shedder.record_sample(0.0, 0.99)
    assert shedder.admitted_share < 1.0


def test_one_sample_of_full_use_rejects_no_request() -> None:
    """A healthy core is often full for 20 ms; once 354 requests were rejected with the loop 1 ms late."""
    shedder = LoadShedder(lambda: 0.99)
    for _ in range(50):
        shedder.record_sample(1.0, 0.98)
        shedder.record_sample(1.0, 0.6)
        assert shedder.admits(0)


def test_a_process_that_was_kept_from_running_rejects_no_request_for_it() -> None:
    """At each start one sample was 150 ms late with 1 % of the core used; a fifth was rejected for 0.7 s."""
    shedder = LoadShedder(lambda: 0.99, cores=0.5)
    shedder.record_sample(158.0, 0.01)
    assert shedder.admits(0)
    for _ in range(30):
        shedder.record_sample(0.0, 0.45)  # of half a core
    assert not shedder.admits(0)
