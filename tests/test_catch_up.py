"""Catching up on real connections: long answers in pieces, their cuts, garbage and lies; deadlines by a clock
that is turned by hand, discovery scripted."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from typing import Any
from unittest.mock import patch

import pytest
from standins import watch
from standins.clients import FastCgiClient, fastcgi_request
from standins.rig import reactor, until
from standins.watch import HEAD, WatchRig, answer, fetched_from, half_close, hold, line, say
from twisted.internet.defer import inlineCallbacks
from twisted.trial.unittest import TestCase

from tests.standins import Rig
from tests.test_watch import service_of
from thornjunction.net import channel as channels
from thornjunction.net import channel_link
from thornjunction.net.catch_up import PIECE, SHORT, CatchUp
from thornjunction.net.wire import ProtocolError
from thornjunction.net.wire.commands import Commands, ListChange, Purge, decode_commands
from thornjunction.net.wire.long_answer import MAX_EVENT, MAX_NODES, LongAnswer

AN_HOUR = 122_400  # purges: 34 a second
SOME = 3000  # purges whose answer is long
FCGI = {"SCRIPT_NAME": "/do/films", "HTTP_X_ROW": "7f3a9c21e0b4d655", "HTTP_X_TTL_MS": "1500"}


def purge(number: int) -> dict[str, Any]:
    return {"cursor": number, "drop": {"id": f"{number:016x}", "when": 1764576000123 + number}}


def purges(first: int, last: int) -> list[dict[str, Any]]:
    return [purge(number) for number in range(first, last + 1)]


def told(events: list[Any], cursor: int) -> bytes:
    return json.dumps({"cursor": cursor, "cmds": events}).encode()


def chunked(body: bytes, size: int, end: bytes = b"0\r\n\r\n") -> bytes:
    parts = (body[start : start + size] for start in range(0, len(body), size))
    return (
        HEAD
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in parts)
        + end
    )


LONG = told(purges(1, SOME), SOME)
MIDDLE = LONG.index(b'{"cursor": 2500,')  # where the 2,500th event begins; 2,499 are whole before
UNTIL_THEN = list(range(1, 2500))
JUNK = b'"' + b"x" * (2 * MAX_EVENT)
SPOILT: dict[str, tuple[bytes, str]] = {  # what comes from there on, and what it is called
    "garbage": (b"}" + LONG[MIDDLE:], "commands-form"),
    "no JSON's number": (LONG[MIDDLE:].replace(b"1764576002623", b"NaN"), "commands-form"),
    "a number without end": (b"9" * 5000 + b"," + LONG[MIDDLE:], "commands-form"),
    "half a letter": (b'"\xed\xa0\x80"' + LONG[MIDDLE:], "commands-form"),
    "no letters": (b'"\xff"' + LONG[MIDDLE:], "commands-form"),
    "the end too early": (b'{}], "cursor": 9} ' + LONG[MIDDLE:], "commands-form"),
    "deep": (b"[" * 100_000, "commands-depth"),
    "an event without end": (JUNK, "event-size"),
    "an event of too many values": (b"[" + b"{}," * MAX_NODES, "event-size"),
    "nothing but faults": (b"7," * 2000 + LONG[MIDDLE:], "commands-faults"),
    "nothing but spaces": (b" " * (2 * MAX_EVENT), "event-size"),
}


class RigTest(TestCase):
    def come(self, holds: Callable[[], Any]) -> Any:
        """Until something holds, with what is due at this moment run; no time passes."""
        return until(lambda: (self.rig.deadlines.run_due(self.rig.now), holds())[1])


class CatchUpTest(RigTest):
    timeout = 40

    def setUp(self) -> None:
        self.rig = WatchRig()
        self.discovery, self.channel = self.rig.discovery, self.rig.channel
        self.addCleanup(self.rig.stop)
        self.pieces: list[tuple[int, int]] = []  # bytes that were taken, bytes that were held before, of each
        take = CatchUp.take

        def noted(catching: CatchUp) -> bool:
            held = len(catching._waiting)
            link = self.rig.channel.link
            assert link is not None
            try:
                return take(catching)
            finally:
                self.pieces.append((held - len(catching._waiting), held + link.reader.held))

        patcher = patch.object(CatchUp, "take", noted)
        patcher.start()
        self.addCleanup(patcher.stop)
        draw = patch.object(channels.random, "random", lambda: 0.0)  # the shortest of each pause: half of it
        draw.start()
        self.addCleanup(draw.stop)

    def numbers(self) -> list[int]:
        return [event.cursor for event in self.rig.taken]

    @inlineCallbacks
    def test_an_hour_behind_is_in_step_again_while_requests_are_answered(self) -> Any:
        """At most one read of the socket is held and taken a turn, so requests come between."""
        self.discovery.events = purges(1, AN_HOUR)
        fronts, turns, counts = Rig(), [0], list[int]()
        self.addCleanup(fronts.stop)
        client = yield fronts.client(3, FastCgiClient)
        apply, at = self.channel.apply_piece, list[int]()

        def counted(told: int | None, listed: list[Any]) -> Commands:
            at.append(turns[0])
            counts.append(len(listed))
            return apply(told, listed)

        def turn() -> None:
            turns[0] += 1
            if self.channel.cursor < AN_HOUR:
                reactor.callLater(0, turn)

        self.channel.apply_piece = counted  # type: ignore[method-assign]
        turn()
        self.channel.start()
        asked = 0
        while self.channel.cursor < AN_HOUR:
            asked, ended = asked + 1, client.has(asked + 1)
            client.transport.write(fastcgi_request(asked, FCGI | {"HTTP_X_TXN": f"{asked:016x}"}))
            yield ended
            self.rig.deadlines.run_due(self.rig.now)
        yield self.come(lambda: len(self.discovery.polls) == 2)
        self.assertEqual(self.discovery.polls, [(0, 1), (AN_HOUR, 1200)])
        self.assertEqual(self.numbers(), list(range(1, AN_HOUR + 1)))
        self.assertLessEqual(max(taken for taken, _ in self.pieces), PIECE)
        self.assertLessEqual(max(held for _, held in self.pieces), 2 * PIECE)
        self.assertEqual(sorted(set(at)), at)  # never two of them in one turn
        self.assertLess(max(counts), 1000)
        self.assertGreater(asked, 10)
        self.assertTrue(all(client.output(n).startswith(b"Status: 200") for n in range(1, asked + 1)))

    @inlineCallbacks
    def test_chunks_of_any_size_are_the_same_answer(self) -> Any:
        for size in (700, SHORT - 1, SHORT + 1, len(LONG)):
            yield self.rig.afresh(say(chunked(LONG, size)), hold)
            yield self.come(lambda: len(self.discovery.polls) == 2)
            self.assertEqual(self.discovery.polls, [(0, 1), (SOME, 1200)], size)
            self.assertEqual(self.numbers(), list(range(1, SOME + 1)), size)
            self.assertLessEqual(max(taken for taken, _ in self.pieces), PIECE)

    @inlineCallbacks
    def test_an_answer_of_the_size_of_a_piece_is_read_whole(self) -> Any:
        """The platform's ordinary day: neither the parser of long answers nor its pieces.  What follows one
        that is longer is heard as well."""
        events = purges(1, 700)
        space = b" " * (SHORT - len(told(events, 700)))
        for more, pieces in ((b"", 0), (b" ", 2)):
            del self.pieces[:]
            later = answer(told(purges(701, 702), 702))
            yield self.rig.afresh(say(answer(told(events, 700) + space + more)), say(later), hold)
            yield self.come(lambda: len(self.discovery.polls) == 3)
            self.assertEqual((self.numbers(), len(self.pieces)), (list(range(1, 703)), pieces))

    @inlineCallbacks
    def test_a_cut_in_the_middle_of_an_event_leaves_the_cursor_at_the_last_whole_one(self) -> Any:
        self.discovery.events = purges(1, SOME)
        for size in (MIDDLE - 2, MIDDLE + 1, MIDDLE + 30):
            for form in (
                answer(LONG)[: len(answer(LONG)) - len(LONG) + size],
                chunked(LONG[:size], 900, b""),
            ):
                yield self.rig.afresh(say(form, end=half_close))
                yield self.come(lambda: self.channel_is_down())
                self.assertEqual(self.numbers(), UNTIL_THEN)
                self.rig.pass_time(25.0)  # what was cut brought much: the shortest pause
                yield self.rig.polled(3)
                self.assertEqual([resume for resume, _ in self.discovery.polls], [0, 2499, SOME])
                self.assertEqual(self.numbers(), list(range(1, SOME + 1)))

    def channel_is_down(self) -> bool:
        return bool(self.discovery.polls) and self.rig.channel.link is None

    @inlineCallbacks
    def test_what_is_spoilt_in_the_middle_ends_there(self) -> Any:
        """What was whole before it counts, once; what is held and read of it is bounded."""
        for name, (rest, code) in SPOILT.items():
            del self.pieces[:]
            with patch.object(channels, "log_end") as ends:
                yield self.rig.afresh(say(chunked(LONG[:MIDDLE] + rest, 5000, b"")))
                yield self.come(self.channel_is_down)
            self.assertEqual(ends.call_args.args[2], code, name)
            taken = self.numbers()
            self.assertEqual(taken, UNTIL_THEN[: len(taken)], name)
            self.assertGreaterEqual(len(taken), 2499 if code != "commands-faults" else 1600, name)
            self.assertLessEqual(max(held for _, held in self.pieces), 2 * PIECE, name)
            self.assertLess(sum(taken for taken, _ in self.pieces), MIDDLE + MAX_EVENT + PIECE, name)
            self.assertEqual(self.rig.channel.cursor, len(taken), name)

    @inlineCallbacks
    def test_an_answer_without_end_is_bounded_in_bytes(self) -> Any:
        body = told(purges(1, 6000), 6000)
        with patch.object(channel_link, "LONGEST", len(LONG)), patch.object(channels, "log_end") as ends:
            yield self.rig.afresh(say(chunked(body, 1000, b"")))
            yield self.come(self.channel_is_down)
        self.assertEqual(ends.call_args.args[2], "http-body-size")
        self.assertTrue(1000 < self.rig.channel.cursor <= SOME)  # less two pieces
        self.assertEqual(self.numbers(), list(range(1, self.rig.channel.cursor + 1)))

    @inlineCallbacks
    def test_whole_events_keep_a_long_answer_alive_up_to_a_bound(self) -> Any:
        """One each 700 ms is progress up to the bound of the whole; what is left is asked for again."""
        yield self.rig.afresh(say(chunked(LONG[:MIDDLE], 1000, b"")))
        yield self.come(lambda: self.rig.channel.cursor == 2499)
        started, number, link = self.rig.now, 2500, self.rig.channel.link
        while link.code == "":
            event = json.dumps(purge(number)).encode() + b", "
            self.discovery.links[-1].transport.write(b"%x\r\n%b\r\n" % (len(event), event))
            yield self.come(lambda number=number: self.rig.channel.cursor == number)
            self.rig.pass_time(700.0)
            number += 1
        self.assertEqual(link.code, "long")
        self.assertTrue(29_000.0 <= self.rig.now - started <= 31_500.0)
        yield self.rig.ended(25.0)
        yield self.rig.polled(2)
        self.assertEqual(self.discovery.polls[1][0], number - 1)

    @inlineCallbacks
    def test_a_dribble_without_whole_events_is_silence(self) -> Any:
        for length in (b"Content-Length: 2000000\r\n\r\n", b"Transfer-Encoding: chunked\r\n\r\nf0000\r\n"):
            yield self.rig.afresh(say(HEAD + length + LONG[:MIDDLE]))
            yield self.come(lambda: self.rig.channel.cursor == 2499)
            link = self.rig.channel.link
            for byte in range(7):
                self.discovery.links[-1].transport.write(LONG[MIDDLE + byte : MIDDLE + byte + 1])
                yield self.come(lambda link=link: not link.long.waits)
                self.rig.pass_time(100.0)
            self.assertEqual(link.code, "")
            self.rig.pass_time(100.0)
            self.assertEqual(link.code, "silent")

    @inlineCallbacks
    def test_a_promise_of_much_that_never_comes_is_silence(self) -> Any:
        yield self.rig.afresh(say(HEAD + b"Content-Length: 2000000\r\n\r\n"))
        yield self.come(lambda: self.rig.channel.link and self.rig.channel.link.long)
        self.rig.pass_time(801.0)
        self.assertEqual(self.rig.channel.link.code, "silent")

    @inlineCallbacks
    def test_drains_come_before_purges_where_both_wait(self) -> Any:
        events = purges(1, SOME)
        events[60] = {"cursor": 61, "nodes": {"hosts": [line("c1", health="leaving")]}}
        events[2990] = {"cursor": 2991, "nodes": {"hosts": [line("c2", health="left")]}}
        yield self.rig.afresh(say(answer({"cursor": SOME, "cmds": events})), hold)
        yield self.come(lambda: len(self.discovery.polls) == 2)
        self.assertEqual(self.numbers()[:4], [61, 1, 2, 3])
        late = self.numbers().index(2991)
        self.assertTrue(late < 2990 and self.numbers()[late + 1] == late + 1)  # the first of its piece
        self.assertEqual(sorted(self.numbers()), list(range(1, SOME + 1)))
        self.assertEqual(self.discovery.polls, [(0, 1), (SOME, 1200)])

    @inlineCallbacks
    def test_an_event_without_a_number_is_taken_in_its_piece(self) -> Any:
        """What says of no number whom it drains is heeded, and the cursor stays among those that came."""
        events: list[Any] = purges(1, SOME)
        events[70] = {"nodes": {"hosts": [line("c1", health="leaving")]}}
        with patch.object(channels.log, "error") as faults:
            yield self.rig.afresh(say(answer({"cursor": SOME, "cmds": events})), hold)
            yield self.come(lambda: len(self.discovery.polls) == 2)
        self.assertEqual(watch.in_short(self.rig.taken[0]), "c1:DRAINING")
        self.assertEqual((len(self.rig.taken), self.rig.channel.cursor), (SOME, SOME))
        self.assertEqual(faults.call_args.kwargs["faults"], "event-cursor")

    @inlineCallbacks
    def test_an_answer_of_old_events_alone_is_asked_again_with_growing_pauses(self) -> Any:
        yield self.rig.afresh(*[say(answer(LONG))] * 7)
        self.rig.channel.replay(Commands(SOME, ()))
        for polls, pause_ms in enumerate((200.0, 400.0, 800.0, 1600.0, 2500.0, 2500.0), 1):
            yield self.come(
                lambda polls=polls: self.rig.channel.link and self.rig.channel.link.polls == polls
            )
            self.rig.pass_time(pause_ms - 1.0)
            self.assertFalse(self.rig.channel.link.asked)
            self.rig.pass_time(1.0)
            self.assertTrue(self.rig.channel.link.asked)
        self.assertEqual((self.rig.taken, {resume for resume, _ in self.discovery.polls}), ([], {SOME}))

    @inlineCallbacks
    def test_much_that_ends_without_an_event_is_asked_again_with_growing_pauses(self) -> Any:
        """Also behind a first one each time; progress brings the short pause back."""
        huge = HEAD + b"Content-Length: 9000000\r\n\r\n" + b'{"cursor":9, "cmds": [' + JUNK
        some = HEAD + b"Content-Length: 9000000\r\n\r\n" + LONG[:MIDDLE]
        yield self.rig.afresh(*[say(huge)] * 5, say(some, end=half_close), hold)
        for wait_ms in (200.0, 400.0, 800.0, 1600.0, 2500.0, 25.0):
            yield self.come(lambda: len(self.discovery.polls) and self.rig.channel.link is None)
            self.assertAlmostEqual(self.rig.deadlines.next_due() - self.rig.now, wait_ms)
            polls = len(self.discovery.polls)
            self.rig.pass_time(wait_ms)
            yield self.rig.polled(polls + 1)
        self.assertEqual([resume for resume, _ in self.discovery.polls], [0] * 6 + [2499])


class NewNumbersTest(RigTest):
    """Discovery whose numbers go back, before the real decisions."""

    timeout = 20

    def setUp(self) -> None:
        self.rig, self.service = WatchRig(), service_of()
        self.discovery, self.channel = self.rig.discovery, self.rig.channel
        self.addCleanup(self.rig.stop)
        self.addCleanup(self.service.alarm.stop)
        self.feed, self.listed = self.service.take, list[str]()
        self.channel.take = self.take
        self.behind_at: int | None = None  # what discovery tells to a poll that doesn't ask from 0
        self.answer, self.discovery.polled = self.discovery.polled, self.polled  # type: ignore[method-assign]
        self.discovery.tell(nodes={"whole": True, "hosts": [line("c1"), line("c2"), watch.ORIGIN]})
        for number in range(8):
            self.discovery.tell(drop={"family": number, "when": 5})
        self.discovery.tell(nodes={"hosts": [line("c1", health="leaving")]})

    def take(self, event: Any) -> None:
        if isinstance(event, ListChange):
            self.listed.append(watch.in_short(event))
        self.feed(event)

    def polled(self, link: watch.WatchStandIn, resume: int, block: int) -> None:
        if not resume:
            self.behind_at = None
        if self.behind_at is None:
            return self.answer(link, resume, block)
        self.discovery.polls.append((resume, block))
        link.transport.write(answer({"cursor": self.behind_at, "cmds": []}))

    @inlineCallbacks
    def begin(self) -> Any:
        self.channel.start()
        yield until(lambda: self.discovery.held and self.channel.cursor == 10)
        self.assertEqual(fetched_from(self.service), "c2")
        del self.listed[:]

    @inlineCallbacks
    def behind(self, cursor: int, most: int = 99) -> Any:
        """Discovery says that it is at an earlier number, so often or until it is asked from 0; how long."""
        started, polls, self.behind_at = self.rig.now, self.discovery.polls, cursor
        link, _ = self.discovery.held
        self.discovery.held = None
        link.transport.write(answer({"cursor": cursor, "cmds": []}))
        del polls[:]
        while len(polls) < most and not self.asked_anew():
            yield until(lambda: not self.channel.link.asked or self.asked_anew())
            self.rig.pass_time(50.0 * (not self.asked_anew()))
        return self.rig.now - started

    @inlineCallbacks
    def polled_again(self) -> Any:
        """Past the pause behind an answer that told nothing."""
        yield until(lambda: self.discovery.held or not self.channel.link.asked)
        self.rig.pass_time(400.0)
        yield until(lambda: self.discovery.held)

    def asked_anew(self) -> bool:
        return any(not resume for resume, _ in self.discovery.polls)

    @inlineCallbacks
    def new_start(self, *events: dict[str, Any]) -> Any:
        """Discovery begins anew with these events, under numbers of its own."""
        yield self.begin()
        self.discovery.events[:] = [{"cursor": number, **event} for number, event in enumerate(events, 1)]
        spent_ms = yield self.behind(len(events))
        yield until(lambda: self.discovery.held and self.discovery.held[1] == len(events))
        return spent_ms

    @inlineCallbacks
    def test_a_new_start_is_taken_and_brings_nothing_back_that_left(self) -> Any:
        hosts = [line("c1"), line("c3"), watch.ORIGIN]
        whole = {"nodes": {"whole": True, "hosts": hosts}}
        spent_ms = yield self.new_start(whole, {"drop": {"family": 1, "when": 5}})
        self.assertTrue(1500.0 <= spent_ms <= 3000.0)
        self.assertEqual(self.listed, ["c1:DRAINING c3:SERVING o:SERVING"])
        self.assertEqual(fetched_from(self.service), "c3")
        self.discovery.tell(nodes={"hosts": [line("c3", health="leaving"), line("c1")]})  # news of its own
        yield until(lambda: self.channel.cursor == 3)
        self.assertEqual(fetched_from(self.service), "c1")

    @inlineCallbacks
    def test_a_new_start_may_be_a_long_answer(self) -> Any:
        """More of them than numbers before: only its first bytes can tell that."""
        yield self.begin()
        self.channel.replay(Commands(SOME + 10, ()))
        whole = {"cursor": 1, "nodes": {"whole": True, "hosts": [line("c1"), line("c3"), watch.ORIGIN]}}
        self.discovery.events[:] = [whole, *purges(2, SOME)]
        yield self.behind(SOME)
        yield self.come(lambda: self.discovery.held and self.discovery.held[1] == SOME)
        self.assertEqual(self.listed, ["c1:DRAINING c3:SERVING o:SERVING"])
        self.assertEqual(self.channel.cursor, SOME)

    @inlineCallbacks
    def test_a_later_process_of_a_name_that_left_is_no_return(self) -> Any:
        hosts = [line("c1", born_ms=1e12), watch.ORIGIN]
        yield self.new_start({"nodes": {"whole": True, "hosts": hosts}})
        self.assertEqual(self.listed, ["c1:SERVING o:SERVING"])

    @inlineCallbacks
    def test_a_false_word_changes_nothing(self) -> Any:
        """Asked from 0, discovery tells numbers that stand: what came before is not taken again."""
        yield self.begin()
        yield self.behind(3)
        yield self.polled_again()
        self.discovery.tell(nodes={"hosts": [line("c3")]})
        yield until(lambda: self.channel.cursor == 11)
        self.assertEqual(self.listed, ["c3:SERVING"])
        self.assertNotEqual(fetched_from(self.service), "c1")

    @inlineCallbacks
    def test_earlier_numbers_without_a_whole_list_are_no_new_start(self) -> Any:
        yield self.begin()
        self.discovery.events[:] = [{"cursor": 1, "nodes": {"hosts": [line("c1")]}}]
        yield self.behind(1)
        yield self.polled_again()
        self.assertEqual((self.asked_anew(), self.channel.cursor, self.listed), (True, 10, []))

    @inlineCallbacks
    def test_few_false_words_ask_nothing_anew_and_many_ask_ever_more_rarely(self) -> Any:
        yield self.begin()
        for _ in range(3):
            yield self.behind(3, most=2)  # an answer that is in order comes between
            self.behind_at = None
            yield self.polled_again()
            self.discovery.tell(drop={"family": 1, "when": 5})
            yield until(lambda: self.discovery.held)
            self.assertFalse(self.asked_anew())
        for least_ms in (1500.0, 3000.0, 6000.0):
            spent_ms = yield self.behind(3)
            self.assertTrue(least_ms <= spent_ms <= least_ms + 1200.0)
            yield self.polled_again()


def test_purges_whose_hold_has_passed_are_not_fed_to_the_decisions() -> None:
    service = service_of()
    takes_ms, now_ms = service.config.settings.purge_takes_ms, time.time() * 1000.0
    with patch.object(service.engine, "feed") as feed:
        for number, age_ms in enumerate((takes_ms + 3_600_000.0, takes_ms + 1000.0, takes_ms - 1000.0), 1):
            service.take(Purge(number, number, 0, now_ms - age_ms))
    assert [call.args[0].key for call in feed.call_args_list] == [3]
    service.alarm.stop()


def test_what_a_relay_tells_more_is_kept_and_else_is_none() -> None:
    change = {"cursor": 1, "nodes": {"seq": 7, "whole": True, "hosts": [line("c1")]}}
    told = decode_commands(
        json.dumps({"cursor": 1, "cmds": [change], "epoch": "r-1.a_B", "age": 12.5}).encode()
    )
    assert (told.epoch, told.age_ms, told.events[0].seq) == ("r-1.a_B", 12.5, 7)  # type: ignore[union-attr]
    plain = decode_commands(
        json.dumps({"cursor": 1, "cmds": [{"cursor": 1, "nodes": {"hosts": []}}]}).encode()
    )
    assert (plain.epoch, plain.age_ms, plain.events[0].seq) == (None, None, None)  # type: ignore[union-attr]
    for epoch in ("", "x" * 33, "a b", "\n", 7, None):
        assert decode_commands(json.dumps({"cursor": 1, "cmds": [], "epoch": epoch}).encode()).epoch is None
    for age in (-1, "3", True, None, [], float("nan")):
        assert decode_commands(json.dumps({"cursor": 1, "cmds": [], "age": age}).encode()).age_ms is None


def test_a_long_answer_says_what_a_short_one_does() -> None:
    """Byte by byte, and in whatever order it comes."""
    listed = {"cursor": 2, "nodes": {"hosts": [line("a", share=0.5, born_ms=5)]}}
    events = [purge(1), listed, 7, "x", [], None, {}]
    beside = {"more": {"cursor": 3, "cmds": [4]}, "age": 0.5, "cursor": 9}
    long, taken = LongAnswer(), list[Any]()
    for byte in json.dumps({"epoch": "e1", "cmds": events} | beside).encode():
        taken += long.feed(bytes([byte]))
    assert taken == events and long.fault == ""
    assert long.end() == Commands(9, (), epoch="e1", age_ms=0.5)


@pytest.mark.parametrize(
    "text", ["[1]", "7", '{"cmds": {}, "cursor": 1}', '{"cmds": []}', '{"cursor": 1, "cmds": [1']
)
def test_what_is_no_answer_is_none_in_pieces(text: str) -> None:
    long = LongAnswer()
    long.feed(text.encode())
    with pytest.raises(ProtocolError, match="commands-form"):
        long.end()
