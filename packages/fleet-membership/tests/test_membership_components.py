"""Tests of the components of a member: member table, suspicions and broadcast queue."""

from __future__ import annotations

import random

from fleet_membership.broadcast_queue import BroadcastQueue
from fleet_membership.member_table import MemberTable
from fleet_membership.suspicion import Suspicion
from gossip_codec import MemberState, Update
from hypothesis import given, settings
from hypothesis import strategies as st

ADDRESS = bytes(6)

member_names = st.sampled_from(["b", "c", "d"])
claims = st.builds(Update, member_names, st.just(ADDRESS), st.integers(0, 3), st.sampled_from(MemberState))


def table_after(updates: list[Update]) -> MemberTable:
    table = MemberTable(Update("a", ADDRESS, 1, MemberState.ALIVE), 100)
    for name in "bcd":
        table.apply(0.0, Update(name, ADDRESS, 0, MemberState.ALIVE))
    for update in updates:
        table.apply(0.0, update)
    return table


def live_incarnations(table: MemberTable) -> dict[str, int]:
    return {member.update.name: member.update.incarnation for member in table.members() if member.is_live}


@settings(derandomize=True)
@given(st.lists(claims, max_size=12), st.randoms(use_true_random=False))
def test_tables_agree_whatever_order_the_claims_are_applied_in(
    updates: list[Update], rng: random.Random
) -> None:
    shuffled = list(updates)
    rng.shuffle(shuffled)
    first = table_after(updates)
    second = table_after(shuffled + updates)
    assert [member.update for member in first.members()] == [member.update for member in second.members()]
    assert first.digests() == second.digests()
    assert first.differing_claims(second.digests()) == []


@settings(derandomize=True)
@given(st.lists(claims, max_size=12), st.lists(claims, max_size=12))
def test_tables_that_exchange_differing_claims_agree_on_live_members(
    a: list[Update], b: list[Update]
) -> None:
    first = table_after(a)
    second = table_after(b)
    for update in first.differing_claims(second.digests()):
        second.apply(0.0, update)
    for update in second.differing_claims(first.digests()):
        first.apply(0.0, update)
    assert live_incarnations(first) == live_incarnations(second)


@settings(derandomize=True)
@given(st.integers(0, 100), st.lists(st.sampled_from("abcdef")), st.integers(1, 9))
def test_the_timeout_of_a_suspicion_shrinks_with_confirmations_within_its_bounds(
    possible_confirmers: int, accusers: list[str], multiplier: int
) -> None:
    suspicion = Suspicion(100.0, 1000.0, 5000.0, possible_confirmers, "a")
    deadlines = [suspicion.deadline_ms(multiplier)]
    for accuser in accusers:
        suspicion.confirm(accuser)
        deadlines.append(suspicion.deadline_ms(multiplier))
    earliest = 100.0 + 1000.0 * multiplier
    assert deadlines == sorted(deadlines, reverse=True)
    assert all(earliest <= deadline <= 100.0 + 5000.0 * multiplier for deadline in deadlines)
    enough = len({*accusers} - {"a"}) >= min(3, possible_confirmers)
    assert (deadlines[-1] == earliest) == enough
    assert not suspicion.confirm("a")


def test_an_update_is_broadcast_a_bounded_number_of_times_and_the_newest_is_sent_first() -> None:
    queue = BroadcastQueue(4.0)
    first, second = (Update(name, ADDRESS, 1, MemberState.ALIVE) for name in "ab")
    queue.enqueue(first)
    queue.mark_sent([first], 99)
    queue.enqueue(second)
    assert queue.next_batch() == [second, first]
    suspicions = [Update("a", ADDRESS, 1, MemberState.SUSPECT, accuser) for accuser in "xy"]
    for update in suspicions:
        queue.enqueue(update)
    assert first not in queue.next_batch()  # the suspicions have replaced it
    assert set(suspicions) < set(queue.next_batch())  # two accusers confirm each other
    transmissions = 0
    while queue.next_batch():
        queue.mark_sent(queue.next_batch()[:1], 99)
        transmissions += 1
    assert transmissions == 3 * 8  # 4 * log10(100) transmissions of each of the three updates
