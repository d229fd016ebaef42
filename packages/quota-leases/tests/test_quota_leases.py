"""The mode table is whole; shares never add up to more than one, and are of use when all is well."""

from __future__ import annotations

import heapq
import random

import pytest
from fleet_membership import PartitionMode
from hypothesis import given, settings
from hypothesis import strategies as st
from quota_leases import MODE_TABLE, WHOLE, Holder, ShareKeeper, ShareSettings, Verdict, Work

ROUTERS = tuple(f"r{at}" for at in range(5))
SHARES = ShareSettings(ROUTERS, ROUTERS[:3])


def test_every_mode_has_a_rule_for_every_work_and_a_refusal_says_when() -> None:
    harmful = {Work.KEYED, Work.MOVE, Work.NEW_TENANT}
    for mode in PartitionMode:
        assert set(MODE_TABLE[mode]) == set(Work)
        refused = {work for work, rule in MODE_TABLE[mode].items() if rule.verdict is Verdict.REFUSE}
        assert refused == (set() if mode is PartitionMode.WITH_MAJORITY else harmful)
        assert refused == {work for work, rule in MODE_TABLE[mode].items() if rule.retry_ms is not None}


class Fleet:
    """Keepers on clocks of their own, with messages that are lost, late, doubled and out of order, and views
    that agree on nothing unless ``live`` says so.  ``spent`` is what may be spent at this moment."""

    def __init__(self, seed: int, drift: float = 0.01) -> None:
        self.random = random.Random(seed)
        self.time, self.lives, self.loss, self.delay = 0.0, 0, 0.0, 5.0
        self.rate = {name: 1.0 + self.random.choice((-drift, 0.0, drift)) for name in ROUTERS}
        self.cut: set[str] = set()
        self.paused: set[str] = set()
        self.live: tuple[str, ...] | None = None
        self.keepers: dict[str, ShareKeeper] = {}
        self.queue: list[tuple[float, int, str, str, bytes]] = []
        for name in ROUTERS:
            self.start(name)

    def now(self, name: str) -> float:
        return 1000.0 + self.time * self.rate[name]

    def start(self, name: str) -> None:
        self.lives += 1
        self.keepers[name] = ShareKeeper(SHARES, name, self.lives, self.now(name))

    def view(self) -> tuple[str, ...]:
        return self.live or tuple(name for name in ROUTERS if self.random.random() < 0.6)

    def ask(self, name: str) -> None:
        if name in self.keepers and name not in self.paused:
            for voter, body in self.keepers[name].asks(self.now(name), self.view()):
                self.send(name, voter, body)

    def send(self, sender: str, to: str, body: bytes) -> None:
        for _ in range(1 + (self.loss > 0.0 and self.random.random() < 0.2)):
            if self.random.random() >= self.loss and (sender in self.cut) == (to in self.cut):
                self.lives += 1
                at = self.time + self.random.random() * self.delay
                heapq.heappush(self.queue, (at, self.lives, sender, to, body))

    def run(self, ms: float) -> None:
        end = self.time + ms
        while self.queue and self.queue[0][0] <= end:
            at, serial, sender, to, body = heapq.heappop(self.queue)
            self.time = max(self.time, at)
            if to in self.paused:  # it waits in the socket
                heapq.heappush(self.queue, (end + 1.0, serial, sender, to, body))
            elif to in self.keepers:
                answer = self.keepers[to].heard(self.now(to), sender, body, self.view())
                if answer is not None:
                    self.send(to, sender, answer)
            assert self.spent() <= WHOLE
        self.time = end
        assert self.spent() <= WHOLE

    def spent(self) -> int:
        return sum(round(keeper.share(self.now(name)) * WHOLE) for name, keeper in self.keepers.items())

    def rounds(self, ms: float) -> None:
        for _ in range(int(ms / 2500.0)):
            for name in ROUTERS:
                self.ask(name)
            self.run(2500.0)

    def share(self, name: str) -> float:
        return self.keepers[name].share(self.now(name))


@settings(derandomize=True, max_examples=25, deadline=None)
@given(st.integers(0, 10_000))
def test_shares_never_add_up_to_more_than_one(seed: int) -> None:
    """Spell by spell, the voters favour one router alone, so that what one gives up the next takes at the
    first moment it may; routers restart, the favoured fall silent, and messages grow slow or get lost."""
    fleet = Fleet(seed, drift=0.01)
    draw, favoured = fleet.random, set[str]()
    for _ in range(12):
        fleet.delay, fleet.loss = draw.choice((5.0, 5.0, 3000.0)), draw.choice((0.0, 0.0, 0.3))
        fleet.paused = {name for name in favoured if draw.random() < 0.7}
        fleet.cut = {name for name in ROUTERS if draw.random() < 0.1}
        favoured = {draw.choice(ROUTERS)} - fleet.paused
        fleet.live = tuple(favoured) or None
        for _ in range(draw.choice((20, 60, 130))):
            if draw.random() < 0.02:
                fleet.start(draw.choice(ROUTERS))
            for name in ROUTERS:
                if draw.random() < 0.25:
                    fleet.ask(name)
            fleet.run(100.0)


def test_a_lease_counts_from_its_ask_and_only_the_newest_answer_to_this_life_is_taken() -> None:
    holder = Holder(ShareSettings(("a",), ("v",), unasked=0.0), "a", life=2)
    first, second, third = (holder.ask(now, "v") for now in (0.0, 1000.0, 5000.0))
    for life, number, units, held in (
        (1, second, 9, 0),  # meant for the life before
        (2, second, 5, 5),
        (2, first, 9, 5),  # overtaken
        (2, second, 9, 5),  # doubled
    ):
        holder.granted("v", life, number, units)
        assert holder.share(10_999.0) == held
    assert holder.share(11_000.0) == 0
    holder.granted("v", 2, third, 7)
    assert (holder.share(14_999.0), holder.share(15_000.0)) == (7, 0)


def test_survivors_grow_when_the_leases_of_the_dead_have_run_out_and_make_room_again() -> None:
    fleet = Fleet(1)
    fleet.live = ROUTERS
    fleet.rounds(30_000.0)
    assert [round(fleet.share(name), 6) for name in ROUTERS] == [0.2] * 5
    for name in ("r3", "r4"):
        del fleet.keepers[name]
    fleet.live = ROUTERS[:3]
    fleet.rounds(5000.0)
    assert max(fleet.share(name) for name in fleet.keepers) <= 0.2  # not yet: they may still be spending
    fleet.rounds(25_000.0)
    assert [round(fleet.share(name), 6) for name in fleet.keepers] == [round(0.1 + 0.5 / 3, 6)] * 3
    fleet.start("r3")
    fleet.live = ROUTERS[:4]
    fleet.rounds(30_000.0)
    assert [round(fleet.share(name), 6) for name in fleet.keepers] == [0.1 + 0.5 / 4] * 4


@pytest.mark.parametrize("cut", [{"r0"}, {"r0", "r3"}, {"r3"}])
def test_who_is_without_the_majority_keeps_its_floor_alone(cut: set[str]) -> None:
    fleet = Fleet(2)
    fleet.live = ROUTERS
    fleet.rounds(30_000.0)
    fleet.cut = cut
    fleet.rounds(12_500.0)
    assert {round(fleet.share(name), 6) for name in cut} == {0.1}
    assert min(fleet.share(name) for name in set(ROUTERS) - cut) > 0.1


def test_what_is_no_ask_or_answer_is_passed_over_and_an_unknown_router_has_no_floor() -> None:
    keeper = ShareKeeper(SHARES, "r0", 1, 0.0)
    assert keeper.heard(1.0, "r1", b"\xff", ROUTERS) is None
    assert keeper.heard(1.0, "r1", b"\x94\x02\x01\x01\x0a", ROUTERS) is None  # an answer to no ask
    assert keeper.share(1.0) == 0.1
    assert ShareKeeper(SHARES, "r9", 1, 0.0).share(1.0) == 0.0


@pytest.mark.parametrize("wrong", [{"routers": ()}, {"voters": ("a", "a")}, {"unasked": 1.1}, {"drift": 1.0}])
def test_settings_that_cannot_be_are_refused(wrong: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=r".+"):
        ShareSettings(**{"routers": ("a",), "voters": ("a",), **wrong})  # type: ignore[arg-type]
