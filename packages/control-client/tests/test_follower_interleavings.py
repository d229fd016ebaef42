"""Interleavings of older, fresher and restarted sources: no event is lost, repeated or undone."""

from __future__ import annotations

from typing import Any

from control_client.resync_limiter import MAX_RESYNC_INTERVAL_MS
from control_client.state_follower import OUTDATED_LIST_MARGIN_MS
from follower_simulation import ENDPOINTS, DiscoveryModel, FollowingClient, RelayModel
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

deterministic = settings(
    derandomize=True, deadline=None, max_examples=400, suppress_health_check=list(HealthCheck), database=None
)
RELAYS = 3
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("wait"), st.sampled_from([1.0, 90.0, 400.0, 1100.0, 2500.0])),
        st.tuples(st.just("change"), st.sampled_from(ENDPOINTS)),
        st.tuples(st.just("reset"), st.integers(1, 5)),
        st.tuples(st.just("purge"), st.sampled_from("xyz")),
        st.tuples(st.just("copy"), st.integers(0, RELAYS - 1)),
        st.tuples(st.just("restart"), st.integers(0, RELAYS - 1)),
        st.tuples(st.just("poll"), st.integers(0, RELAYS - 1)),
        st.tuples(st.just("poll"), st.integers(0, RELAYS - 1)),
        st.tuples(st.just("cut"), st.integers(0, RELAYS - 1)),
    ),
    max_size=60,
)


class Interleaving:
    """One interleaving of steps.  A discovery that is reset is down for ``down_ms``."""

    def __init__(self, down_ms: float) -> None:
        self.now = 10_000.0
        self.down_ms = down_ms
        self.discovery = DiscoveryModel()
        self.relays = [RelayModel(f"r{index}", self.discovery) for index in range(RELAYS)]
        for relay in self.relays:
            relay.copy_discovery(self.now)
        self.client = FollowingClient(self.discovery)

    def step(self, operation: str, argument: Any) -> None:
        self.now += 1.0
        match operation:
            case "wait":
                self.now += argument
            case "change":
                self.discovery.change(argument)
            case "reset":
                self.now += self.down_ms
                self.discovery.reset(argument)
            case "purge":
                self.discovery.purge(argument, self.now)
            case "copy":
                self.relays[argument].copy_discovery(self.now)
            case "restart":
                self.relays[argument].restart(self.now)
            case "poll":
                self.client.poll(self.now, self.relays[argument])
            case "cut":
                self.interrupt_response(self.relays[argument])

    def interrupt_response(self, relay: RelayModel) -> None:
        """Receive a response that is interrupted after its first event."""
        follower = self.client.follower
        position = follower.begin_poll(self.now)
        response = relay.response(self.now, position.epoch, position.resume)
        follower.begin_response(self.now, response.epoch, response.age_ms, response.cursor)
        for event in response.events[:1]:
            if follower.accept_event(event):
                self.client.apply(event)
        self.client.check_list()


@given(STEPS, st.integers(0, RELAYS - 1))
@deterministic
def test_no_interleaving_loses_repeats_or_undoes_an_event(
    steps: list[tuple[str, Any]], last_relay: int
) -> None:
    """Each list was discovery's, none is older than the previous one, and no purge is applied twice.

    In the end one source provides the current list and all purges.
    """
    interleaving = Interleaving(down_ms=2.0 * OUTDATED_LIST_MARGIN_MS)
    for operation, argument in steps:
        interleaving.step(operation, argument)
    interleaving.now += 2.0 * MAX_RESYNC_INTERVAL_MS
    interleaving.client.poll_until_in_sync(interleaving.now, interleaving.relays[last_relay])
    assert interleaving.client.endpoints == interleaving.discovery.endpoints
    latest = dict(interleaving.discovery.purges)
    assert interleaving.client.purged == latest
    assert len(set(interleaving.client.applied_purges)) == len(interleaving.client.applied_purges)
