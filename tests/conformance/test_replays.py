"""The replay window: each token with a ``jti`` is accepted once (RFC 9246 §2.1.7)."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.conformance.tokens import NOW_S, rejection_code, with_claims
from thornjunction.signing.replay import ENTRY_BYTES, ReplayWindow, replay_key


def test_an_id_is_accepted_once_until_its_token_expires() -> None:
    window = ReplayWindow(cap_bytes=2 * ENTRY_BYTES, slot_s=10, horizon_s=600)
    codes = [rejection_code(with_claims(jti=jti), NOW_S, window=window) for jti in "aab"]
    assert codes == ["", "token-replayed", ""]
    assert rejection_code(with_claims(jti="c"), NOW_S, window=window) == "token-replay-full"
    later_s = 1070.0  # the token with id "a" expired at 1065
    assert rejection_code(with_claims(jti="a", exp=1200), later_s, window=window) == ""
    assert rejection_code(with_claims(jti="d", exp=1e6), later_s, window=window) == "token-replay-horizon"


def test_an_id_that_is_used_again_after_its_expiry_is_removed_once() -> None:
    """A key may be in two slots of the wheel, of which the later slot may have been created first."""
    window = ReplayWindow(slot_s=10)
    window.learn(b"other", 155.0, 100.0)
    assert window.accept(b"key", 121.0, 100.0).accepted
    assert window.accept(b"key", 157.0, 125.0).accepted
    assert window.accept(b"last", 200.0, 190.0).accepted
    assert len(window) == 1


@settings(derandomize=True, max_examples=80, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 30), st.integers(0, 200), st.integers(0, 40)), max_size=120))
def test_the_window_accepts_no_unexpired_id_twice_and_stays_within_its_capacity(
    steps: list[tuple[int, int, int]],
) -> None:
    """Each step has an id, its lifetime and the elapsed time; a dict of expiries is the reference model."""
    window = ReplayWindow(cap_bytes=16 * ENTRY_BYTES, slot_s=7, horizon_s=150)
    expiry_by_id: dict[int, float] = {}
    now_s = 0.0
    for token_id, lifetime_s, elapsed_s in steps:
        now_s += elapsed_s
        verdict = window.accept(replay_key("i", str(token_id)), now_s + lifetime_s, now_s)
        if expiry_by_id.get(token_id, -1.0) >= now_s:
            assert verdict.code == "token-replayed"
        elif verdict.accepted:
            expiry_by_id[token_id] = now_s + lifetime_s
        assert len(window) <= window.capacity
        assert verdict.code != "token-replay-full" or verdict.retry_after_s > 0
