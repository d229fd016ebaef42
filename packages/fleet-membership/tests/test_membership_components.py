"""The parts of a member that hold by themselves."""

from __future__ import annotations

from fleet_membership.broadcast_queue import Rumours
from fleet_membership.member_table import LIVE, Table
from fleet_membership.suspicion import Suspicion
from gossip_codec import MemberState, Update
from hypothesis import given, settings
from hypothesis import strategies as st

names = st.sampled_from(["b", "c", "d"])
claims = st.builds(Update, names, st.just(bytes(6)), st.integers(0, 3), st.sampled_from(MemberState))


def table_of(heard: list[Update]) -> Table:
    table = Table(Update("a", bytes(6), 1, MemberState.ALIVE), 100)
    for name in "bcd":
        table.take(0.0, Update(name, bytes(6), 0, MemberState.ALIVE))
    for update in heard:
        table.take(0.0, update)
    return table


@settings(derandomize=True)
@given(st.lists(claims, max_size=12), st.randoms(use_true_random=False))
def test_tables_agree_whatever_the_order_of_the_claims(heard: list[Update], chance: st.DataObject) -> None:
    other = list(heard)
    chance.shuffle(other)  # type: ignore[attr-defined]
    one, two = table_of(heard), table_of(other + heard)
    assert [m.update for m in one.members()] == [m.update for m in two.members()]
    assert one.digests() == two.digests()
    assert one.differing(two.digests()) == []


@settings(derandomize=True)
@given(st.lists(claims, max_size=12), st.lists(claims, max_size=12))
def test_two_tables_that_exchange_what_differs_agree_on_the_live(a: list[Update], b: list[Update]) -> None:
    one, two = table_of(a), table_of(b)
    for update in one.differing(two.digests()):
        two.take(0.0, update)
    for update in two.differing(one.digests()):
        one.take(0.0, update)
    live = [{m.update.name: m.update.incarnation for m in t.members() if m.state in LIVE} for t in (one, two)]
    assert live[0] == live[1]


@settings(derandomize=True)
@given(st.integers(0, 100), st.lists(st.sampled_from("abcdef")), st.integers(1, 9))
def test_a_suspicion_shrinks_with_confirmations_within_its_bounds(
    others: int, accusers: list[str], stretch: int
) -> None:
    suspicion = Suspicion(100.0, 1000.0, 5000.0, others, "a")
    ends = [suspicion.deadline(stretch)]
    for accuser in accusers:
        suspicion.confirm(accuser)
        ends.append(suspicion.deadline(stretch))
    assert ends == sorted(ends, reverse=True)
    assert all(100.0 + 1000.0 * stretch <= end <= 100.0 + 5000.0 * stretch for end in ends)
    enough = len({*accusers} - {"a"}) >= min(3, others)
    assert (ends[-1] == 100.0 + 1000.0 * stretch) == enough
    assert not suspicion.confirm("a")


def test_a_rumour_is_told_a_bounded_number_of_times_and_the_newest_first() -> None:
    rumours = Rumours(4.0)
    first, second = (Update(name, bytes(6), 1, MemberState.ALIVE) for name in "ab")
    rumours.put(first)
    rumours.sent([first], 99)
    rumours.put(second)
    assert rumours.pick() == [second, first]
    suspected = [Update("a", bytes(6), 1, MemberState.SUSPECT, by) for by in "xy"]
    for update in suspected:
        rumours.put(update)
    assert first not in rumours.pick()  # it is past
    assert set(suspected) < set(rumours.pick())  # two accusers confirm each other
    told = 0
    while rumours.pick():
        rumours.sent(rumours.pick()[:1], 99)
        told += 1
    assert told == 3 * 8  # 4 x log10(100), for each of the three
