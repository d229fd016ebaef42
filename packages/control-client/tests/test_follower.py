"""What may be taken: interleavings of sources that are older, younger or started anew, and each rule."""

from __future__ import annotations

from typing import Any

import pytest
from control_client import Answer, Follower, ListEvent, Position, PurgeEvent, Standing
from control_client.follower import BACK_MS, HISTORY_MS, LATER_MS, MOST_AGAIN_MS
from follower_world import SHELFS, Discovery, Held, RelayModel
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

fixed = settings(
    derandomize=True, deadline=None, max_examples=400, suppress_health_check=list(HealthCheck), database=None
)
RELAYS = 3
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("wait"), st.sampled_from([1.0, 90.0, 400.0, 1100.0, 2500.0])),
        st.tuples(st.just("change"), st.sampled_from(SHELFS)),
        st.tuples(st.just("reset"), st.integers(1, 5)),
        st.tuples(st.just("purge"), st.sampled_from("xyz")),
        st.tuples(st.just("copy"), st.integers(0, RELAYS - 1)),
        st.tuples(st.just("restart"), st.integers(0, RELAYS - 1)),
        st.tuples(st.just("ask"), st.integers(0, RELAYS - 1)),
        st.tuples(st.just("ask"), st.integers(0, RELAYS - 1)),
        st.tuples(st.just("cut"), st.integers(0, RELAYS - 1)),
    ),
    max_size=60,
)


class Play:
    """One interleaving.  A discovery that is set back is down for ``down_ms``: nothing is told within it."""

    def __init__(self, down_ms: float) -> None:
        self.now, self.down_ms = 10_000.0, down_ms
        self.discovery = Discovery()
        self.relays = [RelayModel(f"r{at}", self.discovery) for at in range(RELAYS)]
        for relay in self.relays:
            relay.copy(self.now)
        self.held = Held(self.discovery)

    def step(self, what: str, how: Any) -> None:
        self.now += 1.0
        if what == "wait":
            self.now += how
        elif what == "change":
            self.discovery.change(how)
        elif what == "reset":
            self.now += self.down_ms
            self.discovery.reset(how)
        elif what == "purge":
            self.discovery.purge(how, self.now)
        elif what == "copy":
            self.relays[how].copy(self.now)
        elif what == "restart":
            self.relays[how].restart(self.now)
        elif what == "ask":
            self.held.ask(self.now, self.relays[how])
        else:
            self.cut(self.relays[how])

    def cut(self, relay: RelayModel) -> None:
        """An answer that breaks off behind its first event."""
        follower = self.held.follower
        position = follower.asked(self.now)
        answer = relay.answer(self.now, position.epoch, position.resume)
        follower.begin(self.now, answer.epoch, answer.age_ms, answer.cursor)
        for event in answer.events[:1]:
            if follower.offer(event):
                self.held.apply(event)
        self.held.check_list()


@given(STEPS, st.integers(0, RELAYS - 1))
@fixed
def test_no_interleaving_goes_back_loses_or_repeats(steps: list[tuple[str, Any]], last: int) -> None:
    """After each step the list that is held stood, and is none of before; no purge is taken twice.  In the
    end one source that is in step brings all there is."""
    play = Play(down_ms=2.0 * HISTORY_MS)
    for what, how in steps:
        play.step(what, how)
    play.now += 2.0 * MOST_AGAIN_MS
    play.held.settle(play.now, play.relays[last])
    assert play.held.lines == play.discovery.lines
    latest = dict(play.discovery.purges)
    assert play.held.purged == latest
    assert len(set(play.held.applied)) == len(play.held.applied)


def test_a_follower_holds_no_more_than_it_may() -> None:
    follower = Follower(hold_ms=1000.0, most_purges=50, most_lines=50)
    for at in range(500):
        events = PurgeEvent(2 * at + 1, at, 1.0), whole(2 * at + 2, 5, **{f"s{n}": n for n in range(at)})
        ask(follower, 1.0 + at, Answer("a" if at % 2 else "b", 0.0, 10_000, events))
        assert len(follower.purges) <= 50 and len(follower.fold.lines) <= 50
    for at in range(60):
        ask(follower, 9000.0 + 100.0 * at, Answer("c", 0.0, at + 1, (PurgeEvent(at + 1, at, 1.0),)))
    assert len(follower.purges) <= 11 and follower.fold.overfull > 0


def whole(number: int, seq: int | None, **lines: Any) -> ListEvent:
    return ListEvent(number, seq, True, lines)


def change(number: int, seq: int | None, **lines: Any) -> ListEvent:
    return ListEvent(number, seq, False, lines)


def following(seq: int | None = 5) -> Follower:
    """Has followed epoch ``a`` until 1,000 ms, where the list had this seq."""
    follower = Follower()
    follower.asked(1000.0)
    follower.take(1000.0, Answer("a", 0.0, 10, (whole(10, seq, s="ours"),)))
    return follower


def ask(follower: Follower, now: float, answer: Answer) -> tuple[list[Any], Standing]:
    """What is taken: values of lines, or what is purged."""
    follower.asked(now)
    taken = follower.take(now, answer)
    told = [event.what if isinstance(event, PurgeEvent) else dict(event.lines) for event in taken.events]
    return told, taken.standing


def test_purges_are_taken_from_whoever_tells_them_the_latest_time_wins() -> None:
    follower = following()
    first = Answer("a", 0.0, 12, (PurgeEvent(11, "x", 50.0), PurgeEvent(12, "y", 60.0)))
    assert ask(follower, 1100.0, first) == (["x", "y"], Standing.IN_STEP)
    events = (
        PurgeEvent(1, "x", 50.0),
        PurgeEvent(2, "y", 59.0),
        PurgeEvent(3, "z", 10.0),
        whole(4, 1, s="old"),
    )
    assert ask(follower, 1200.0, Answer("b", 900.0, 4, events)) == (["z"], Standing.OLDER)
    assert ask(follower, 1300.0, Answer("b", 900.0, 5, (PurgeEvent(5, "x", 51.0),)))[0] == ["x"]


@pytest.mark.parametrize(
    ("seq", "age_ms", "taken"),
    [
        (6, 500.0, True),
        (5, 500.0, True),
        (4, 500.0, False),
        (None, 500.0, False),
        (9, HISTORY_MS + 900, False),
    ],
)
def test_a_whole_list_is_taken_by_its_seq(seq: int | None, age_ms: float, taken: bool) -> None:
    follower = following()
    told, standing = ask(follower, 1100.0, Answer("b", age_ms, 1, (whole(1, seq, s="theirs"),)))
    assert told == [{"s": "theirs"}] * taken
    assert standing is (Standing.IN_STEP if taken else Standing.OLDER)


@pytest.mark.parametrize(("later_ms", "taken"), [(LATER_MS - 1.0, False), (LATER_MS, True)])
def test_a_lower_seq_is_taken_only_where_it_stood_later(later_ms: float, taken: bool) -> None:
    follower = following()
    answer = Answer("b", 200.0, 1, (whole(1, 2, s="theirs"),))
    assert ask(follower, 1200.0 + later_ms, answer)[0] == [{"s": "theirs"}] * taken


def test_an_answer_that_was_written_some_time_ago_is_no_later_for_it() -> None:
    """The poll's time bounds it: the answer may have waited for a process that was stopped."""
    follower = following()
    follower.asked(1500.0)
    taken = follower.take(9000.0, Answer("b", 0.0, 1, (whole(1, 2, s="theirs"),)))
    assert taken.standing is Standing.OLDER and not taken.events
    assert follower.age_ms(9000.0) == 8000.0


def test_changes_of_an_older_source_are_passed_over_up_to_what_is_held() -> None:
    follower = following()
    assert ask(follower, 1100.0, Answer("b", 100.0, 1, (whole(1, 3, s="old"),)))[1] is Standing.OLDER
    events = change(2, 4, s="older"), change(3, 5, s="same")
    assert ask(follower, 1200.0, Answer("b", 100.0, 3, events)) == ([], Standing.OLDER)
    # What is more is news: the whole is asked for at once, for its changes may be of another history.
    assert ask(follower, 1300.0, Answer("b", 100.0, 4, (change(4, 6, s="new"),))) == ([], Standing.MORE)
    assert follower.asked(1300.0) == Position("b", 0)
    answer = Answer("b", 100.0, 4, (whole(4, 6, s="new"),))
    assert ask(follower, 1300.0, answer) == ([{"s": "new"}], Standing.IN_STEP)


def test_an_older_source_is_judged_anew_once_what_it_tells_stood_later() -> None:
    follower = following()
    assert ask(follower, 1100.0, Answer("b", 100.0, 1, (whole(1, 3, s="old"),)))[1] is Standing.OLDER
    assert ask(follower, 2000.0, Answer("b", 100.0, 1))[1] is Standing.OLDER
    assert ask(follower, 2100.0, Answer("b", 100.0, 1))[1] is Standing.MORE
    assert follower.asked(2101.0) == Position("b", 0)
    answer = Answer("b", 100.0, 1, (whole(1, 3, s="set back"),))
    assert ask(follower, 2101.0, answer) == ([{"s": "set back"}], Standing.IN_STEP)


def test_a_source_that_missed_a_new_start_of_discovery_tells_history() -> None:
    """Its seq is higher, but what it tells stood before what is held: neither list nor changes are taken."""
    follower = following(seq=5)
    late = Answer("b", HISTORY_MS + 2000.0, 1, (whole(1, 70, s="history"),))
    assert ask(follower, 2000.0, late) == ([], Standing.OLDER)
    assert ask(follower, 2100.0, Answer("b", 4000.0, 2, (change(2, 71, s="history"),))) == (
        [],
        Standing.OLDER,
    )


def test_within_an_epoch_numbers_alone_give_the_order() -> None:
    follower = following()
    events = change(10, 6, s="again"), change(11, 4, s="by its number"), whole(12, 1, t="whole")
    told, standing = ask(follower, 1100.0, Answer("a", 0.0, 12, events))
    assert (told, standing) == ([{"s": "by its number"}, {"t": "whole"}], Standing.IN_STEP)
    assert follower.asked(1200.0) == Position("a", 12)


def test_a_gap_asks_for_the_whole_state_and_not_without_end() -> None:
    follower, now, from_zero = following(), 1100.0, 0
    for number in range(200):
        answer = Answer("a", 0.0, 20 + number, (change(20 + number, 10 + 2 * number, s=number),))
        assert ask(follower, now, answer)[0] in ([{"s": number}], [])
        if follower.asked(now).resume == 0:
            from_zero += 1
            ask(
                follower, now, Answer("a", 0.0, 20 + number, (whole(20 + number, 10 + 2 * number, s=number),))
            )
        now += 300.0
    assert 5 <= from_zero <= 8  # in a minute: after 1, 2, 4, 8, 16 and 30 s


def test_a_plain_discovery_behind_relays_is_asked_from_the_start() -> None:
    """What it answers to a number of another epoch is not taken; no step of its history is held."""
    follower = following()
    assert ask(follower, 3000.0, Answer("", 0.0, 9, (change(1 << 40, 9, s="stray"),))) == ([], Standing.MORE)
    assert follower.asked(3000.0) == Position("", 0)
    history = (
        whole(1, 1, s="first", t="first"),
        change(2, 2, t=None),
        PurgeEvent(3, "x", 5.0),
        change(4, 6, s="now"),
    )
    told, standing = ask(follower, 3000.0, Answer("", 0.0, 4, history))
    assert (told, standing) == ([{"s": "now"}, "x"], Standing.IN_STEP)
    assert follower.asked(3000.0) == Position("", 4)


def test_a_discovery_that_starts_anew_is_asked_from_0_and_a_false_word_changes_nothing() -> None:
    for false_word in (True, False):
        follower, now = Follower(), 1000.0
        ask(follower, now, Answer("", 0.0, 40, (whole(40, 30, s="ours"),)))
        for _ in range(3):
            assert follower.asked(now).resume == 40
            now += BACK_MS / 2
            assert ask(follower, now, Answer("", 0.0, 1))[1] is Standing.MORE
        assert follower.asked(now) == Position("", 0)
        events = (
            (whole(1, 1, s="new"),) if not false_word else (whole(1, 1, s="old"), change(41, 31, t="new"))
        )
        told, _ = ask(follower, now, Answer("", 0.0, 41 if false_word else 1, events))
        assert told == [{"t": "new"} if false_word else {"s": "new"}]
        assert follower.asked(now).resume == (41 if false_word else 1)


def test_numbers_that_go_back_for_a_moment_are_no_new_start() -> None:
    follower, now = following(), 1100.0
    for last in (3, 3, 10, 3, 3, 10):
        ask(follower, now, Answer("a", 0.0, last))
        now += BACK_MS
        assert follower.asked(now) == Position("a", 10)


def test_a_list_that_is_known_at_the_start_gives_way_only_to_what_is_not_older() -> None:
    follower = Follower()
    follower.start(1000.0, 41, 7)
    assert follower.asked(1000.0) == Position("", 41)
    assert ask(follower, 1100.0, Answer("b", 50.0, 1, (whole(1, 6, s="old"),))) == ([], Standing.OLDER)
    assert ask(follower, 1200.0, Answer("c", 50.0, 1, (whole(1, 7, s="new"),)))[0] == [{"s": "new"}]


def test_a_source_without_a_list_is_no_source() -> None:
    follower = Follower()
    assert ask(follower, 1.0, Answer("", 0.0, 1, (PurgeEvent(1, "x", 5.0),))) == (["x"], Standing.OLDER)
    assert ask(follower, 2.0, Answer("", 0.0, 2, (whole(2, 1, s="now"),))) == (
        [{"s": "now"}],
        Standing.IN_STEP,
    )


def test_a_state_in_pages_counts_when_it_has_come_whole() -> None:
    follower = following()
    follower.asked(3000.0)
    first = follower.take(3000.0, Answer("b", 0.0, 9, (PurgeEvent(7, "x", 1.0), whole(8, 2, s="theirs"))))
    assert [event.number for event in first.events] == [7] and first.standing is Standing.MORE
    assert follower.age_ms(3000.0) == 2000.0
    told = ask(follower, 3010.0, Answer("b", 0.0, 9, (change(9, 3, s="last"),)))
    assert told == ([{"s": "last"}], Standing.IN_STEP) and follower.age_ms(3010.0) == 0.0
