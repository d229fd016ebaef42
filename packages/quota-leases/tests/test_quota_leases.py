"""Tests of quota leases: they never exceed a budget in total, and divide all of it without faults."""

from __future__ import annotations

import heapq
import random
from typing import NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from quota_leases import BUDGET_UNITS, LeaseExchange, LeaseHolder, QuotaSettings

ROUTERS = tuple(f"r{index}" for index in range(5))
SETTINGS = QuotaSettings(ROUTERS, ROUTERS[:3])
RENEWAL_MS = 2500.0
FLOOR = 0.1


class MessageInFlight(NamedTuple):
    """A message that has not arrived yet; ``serial`` is unique."""

    arrives_ms: float
    serial: int
    sender: str
    target: str
    body: bytes


class LeaseCluster:
    """Simulated routers, each with its own clock.

    Messages are lost, delayed, duplicated and reordered.  Each view of the live routers is drawn at random,
    unless ``shared_live_view`` sets it for all routers.
    """

    def __init__(self, seed: int, drift: float = 0.01) -> None:
        self.random = random.Random(seed)
        self.time_ms = 0.0
        self.loss = 0.0
        self.delay_ms = 5.0
        self.serial = 0
        self.clock_rate = {name: 1.0 + self.random.choice((-drift, 0.0, drift)) for name in ROUTERS}
        self.partitioned: set[str] = set()
        self.paused: set[str] = set()
        self.shared_live_view: tuple[str, ...] | None = None
        self.routers: dict[str, LeaseExchange] = {}
        self.queue: list[MessageInFlight] = []
        for name in ROUTERS:
            self.start(name)

    def now(self, name: str) -> float:
        return 1000.0 + self.time_ms * self.clock_rate[name]

    def start(self, name: str) -> None:
        self.serial += 1
        self.routers[name] = LeaseExchange(SETTINGS, name, self.serial, self.now(name))

    def live_routers(self) -> tuple[str, ...]:
        return self.shared_live_view or tuple(name for name in ROUTERS if self.random.random() < 0.6)

    def renew(self, name: str) -> None:
        if name in self.routers and name not in self.paused:
            for request in self.routers[name].renew(self.now(name), self.live_routers()):
                self.send(name, request.voter, request.body)

    def send(self, sender: str, target: str, body: bytes) -> None:
        duplicated = self.loss > 0.0 and self.random.random() < 0.2
        for _ in range(2 if duplicated else 1):
            lost = self.random.random() < self.loss
            if not lost and (sender in self.partitioned) == (target in self.partitioned):
                self.serial += 1
                arrives_ms = self.time_ms + self.random.random() * self.delay_ms
                heapq.heappush(self.queue, MessageInFlight(arrives_ms, self.serial, sender, target, body))

    def run_for(self, ms: float) -> None:
        end_ms = self.time_ms + ms
        while self.queue and self.queue[0].arrives_ms <= end_ms:
            message = heapq.heappop(self.queue)
            self.time_ms = max(self.time_ms, message.arrives_ms)
            if message.target in self.paused:  # the message stays in the socket's buffer
                heapq.heappush(self.queue, message._replace(arrives_ms=end_ms + 1.0))
            elif message.target in self.routers:
                self.deliver(message)
            assert self.used_units() <= BUDGET_UNITS
        self.time_ms = end_ms
        assert self.used_units() <= BUDGET_UNITS

    def deliver(self, message: MessageInFlight) -> None:
        target = message.target
        reply = self.routers[target].handle_message(
            self.now(target), message.sender, message.body, self.live_routers()
        )
        if reply is not None:
            self.send(target, message.sender, reply)

    def used_units(self) -> int:
        """Return the units that all routers together may use now."""
        return sum(round(self.quota(name) * BUDGET_UNITS) for name in self.routers)

    def run_renewals(self, ms: float) -> None:
        for _ in range(int(ms / RENEWAL_MS)):
            for name in ROUTERS:
                self.renew(name)
            self.run_for(RENEWAL_MS)

    def quota(self, name: str) -> float:
        return self.routers[name].quota(self.now(name))

    def quotas(self) -> list[float]:
        return [round(self.quota(name), 6) for name in self.routers]


@settings(derandomize=True, max_examples=25, deadline=None)
@given(st.integers(0, 10_000))
def test_quotas_never_add_up_to_more_than_the_budget(seed: int) -> None:
    """The voters grant leases to one preferred router at a time, so the next one takes them at expiry.

    Routers restart, the preferred ones are paused, and messages are delayed or lost.
    """
    cluster = LeaseCluster(seed, drift=0.01)
    rng = cluster.random
    preferred = set[str]()
    for _ in range(12):
        cluster.delay_ms = rng.choice((5.0, 5.0, 3000.0))
        cluster.loss = rng.choice((0.0, 0.0, 0.3))
        cluster.paused = {name for name in preferred if rng.random() < 0.7}
        cluster.partitioned = {name for name in ROUTERS if rng.random() < 0.1}
        preferred = {rng.choice(ROUTERS)} - cluster.paused
        cluster.shared_live_view = tuple(preferred) or None
        for _ in range(rng.choice((20, 60, 130))):
            if rng.random() < 0.02:
                cluster.start(rng.choice(ROUTERS))
            for name in ROUTERS:
                if rng.random() < 0.25:
                    cluster.renew(name)
            cluster.run_for(100.0)


def test_a_lease_begins_at_its_request_and_only_the_newest_grant_to_this_incarnation_is_accepted() -> None:
    holder = LeaseHolder(QuotaSettings(("a",), ("v",), floor_fraction=0.0), "a", incarnation=2)
    first, second, third = (holder.request(now, "v") for now in (0.0, 1000.0, 5000.0))
    for incarnation, request_id, units, expected in (
        (1, second, 9, 0),  # for the previous incarnation
        (2, second, 5, 5),
        (2, first, 9, 5),  # older than an accepted one
        (2, second, 9, 5),  # duplicated
    ):
        holder.accept("v", incarnation, request_id, units)
        assert holder.quota_units(10_999.0) == expected
    assert holder.quota_units(11_000.0) == 0
    holder.accept("v", 2, third, 7)
    assert (holder.quota_units(14_999.0), holder.quota_units(15_000.0)) == (7, 0)


def test_quotas_grow_after_leases_of_failed_routers_expire_and_shrink_when_one_restarts() -> None:
    cluster = LeaseCluster(1)
    cluster.shared_live_view = ROUTERS
    cluster.run_renewals(30_000.0)
    assert cluster.quotas() == [0.2] * 5
    for name in ("r3", "r4"):
        del cluster.routers[name]
    cluster.shared_live_view = ROUTERS[:3]
    cluster.run_renewals(5000.0)
    assert max(cluster.quotas()) <= 0.2  # the leases of the failed routers may still be valid
    cluster.run_renewals(25_000.0)
    assert cluster.quotas() == [round(FLOOR + 0.5 / 3, 6)] * 3
    cluster.start("r3")
    cluster.shared_live_view = ROUTERS[:4]
    cluster.run_renewals(30_000.0)
    assert cluster.quotas() == [FLOOR + 0.5 / 4] * 4


@pytest.mark.parametrize("partitioned", [{"r0"}, {"r0", "r3"}, {"r3"}])
def test_routers_without_a_majority_keep_only_their_floor(partitioned: set[str]) -> None:
    cluster = LeaseCluster(2)
    cluster.shared_live_view = ROUTERS
    cluster.run_renewals(30_000.0)
    cluster.partitioned = partitioned
    cluster.run_renewals(12_500.0)
    assert {round(cluster.quota(name), 6) for name in partitioned} == {FLOOR}
    assert min(cluster.quota(name) for name in set(ROUTERS) - partitioned) > FLOOR


def test_malformed_messages_are_ignored_and_an_unknown_router_has_no_floor() -> None:
    router = LeaseExchange(SETTINGS, "r0", 1, 0.0)
    assert router.handle_message(1.0, "r1", b"\xff", ROUTERS) is None
    unrequested_grant = b"\x94\x02\x01\x01\x0a"
    assert router.handle_message(1.0, "r1", unrequested_grant, ROUTERS) is None
    assert router.quota(1.0) == FLOOR
    assert LeaseExchange(SETTINGS, "r9", 1, 0.0).quota(1.0) == 0.0


@pytest.mark.parametrize(
    ("setting", "value"),
    [
        ("routers", ()),
        ("voters", ("a", "a")),
        ("floor_fraction", 1.1),
        ("max_clock_drift", 1.0),
        ("lease_ms", 0.0),
    ],
)
def test_invalid_settings_raise_an_error_that_names_the_setting(setting: str, value: object) -> None:
    valid: dict[str, object] = {"routers": ("a",), "voters": ("a",)}
    with pytest.raises(ValueError, match=f"{setting} must"):
        QuotaSettings(**valid | {setting: value})  # type: ignore[arg-type]
