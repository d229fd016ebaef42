"""Catching up on real connections: long answers in pieces, their cuts, garbage and lies; deadlines by a clock
that is turned by hand, discovery scripted."""

from __future__ import annotations

import json
from typing import Any
from unittest.mock import patch

from fakes.clients import FastCgiClient, encode_fastcgi_request
from fakes.event_log import encode_events
from fakes.event_loop import reactor, wait_until
from fakes.fake_discovery import close_write_side, hold_poll, respond
from fakes.watch_environment import WatchEnvironment
from fakes.watch_messages import (
    RESPONSE_HEAD,
    edge_entry,
    encode_answer,
    encode_chunked,
    purge_event,
    purge_events,
    summarize_event,
)
from twisted.internet.defer import inlineCallbacks
from twisted.trial.unittest import TestCase

from tests.loopback import make_loopback_environment
from thornjunction.net.discovery import resynchronization as catch_up
from thornjunction.net.discovery import watch_client as channels
from thornjunction.net.discovery import watch_connection as channel_link
from thornjunction.net.discovery.resynchronization import Resynchronization
from thornjunction.net.wire.commands import Commands

AN_HOUR = 122_400  # purges: 34 a second
READ = 65_536  # bytes: of one read of a socket, so of what is no long answer, and of a turn
EVENT = 1_000_000  # bytes of one event at most
SOME = 3000  # purges whose answer is long
FCGI = {"SCRIPT_NAME": "/do/films", "HTTP_X_ROW": "7f3a9c21e0b4d655", "HTTP_X_TTL_MS": "1500"}
LONG = encode_events(purge_events(1, SOME), SOME)
MIDDLE = LONG.index(b'{"cursor": 2500,')  # where the 2,500th event begins; 2,499 are whole before
UNTIL_THEN = list(range(1, 2500))
JUNK = b'"' + b"x" * (2 * EVENT)
SPOILT: dict[str, tuple[bytes, str]] = {  # what comes from there on, and what it is called
    "garbage": (b"}" + LONG[MIDDLE:], "commands-form"),
    "no JSON's number": (LONG[MIDDLE:].replace(b"1764576002623", b"NaN"), "commands-form"),
    "a number without end": (b"9" * 5000 + b"," + LONG[MIDDLE:], "commands-form"),
    "half a letter": (b'"\xed\xa0\x80"' + LONG[MIDDLE:], "commands-form"),
    "no letters": (b'"\xff"' + LONG[MIDDLE:], "commands-form"),
    "the end too early": (b'{}], "cursor": 9} ' + LONG[MIDDLE:], "commands-form"),
    "deep": (b"[" * 100_000, "commands-depth"),
    "an event without end": (JUNK, "event-size"),
    "an event of too many values": (b"[" + b"{}," * 200_000, "event-size"),
    "nothing but faults": (b"7," * 2000 + LONG[MIDDLE:], "commands-faults"),
    "nothing but spaces": (b" " * (2 * EVENT), "event-size"),
}


class CatchUpTest(TestCase):
    timeout = 40

    def setUp(self) -> None:
        self.rig = WatchEnvironment()
        self.discovery, self.channel = self.rig.discovery, self.rig.watch_client
        self.addCleanup(self.rig.stop)
        self.pieces: list[tuple[int, int]] = []  # bytes that were taken, bytes that were held before, of each
        take = Resynchronization.take

        def noted(catching: Resynchronization) -> bool:
            held, link = len(catching._waiting), self.rig.watch_client.link
            try:
                return take(catching)
            finally:
                self.pieces.append((held - len(catching._waiting), held + link.reader.held))

        shortest = patch.object(channels.random, "random", lambda: 0.0)  # of each pause: half of it
        for patcher in (patch.object(Resynchronization, "take", noted), shortest):
            patcher.start()
            self.addCleanup(patcher.stop)

    def numbers(self) -> list[int]:
        return [event.cursor for event in self.rig.received_events]

    @inlineCallbacks
    def test_an_hour_behind_is_in_step_again_while_requests_are_answered(self) -> Any:
        """At most one read of the socket is held and taken a turn, so requests come between."""
        self.discovery.events = purge_events(1, AN_HOUR)
        fronts, turns, counts = make_loopback_environment(), [0], list[int]()
        self.addCleanup(fronts.stop)
        client = yield fronts.connect_client(3, FastCgiClient)
        apply, at = self.channel.apply_piece, list[int]()

        def counted(head: Commands | None, listed: list[Any]) -> Commands:
            at.append(turns[0])
            counts.append(len(listed))
            return apply(head, listed)

        def turn() -> None:
            turns[0] += 1
            if self.channel.cursor < AN_HOUR:
                reactor.callLater(0, turn)

        self.channel.apply_piece, asked = counted, 0  # type: ignore[method-assign]
        self.channel.start()
        turn()
        while self.channel.cursor < AN_HOUR:
            asked, ended = asked + 1, client.wait_for_answers(asked + 1)
            client.transport.write(encode_fastcgi_request(asked, FCGI | {"HTTP_X_TXN": f"{asked:016x}"}))
            yield ended
            self.rig.deadlines.run_due(self.rig.now_ms)
        yield self.rig.wait_until_due(lambda: len(self.discovery.polls) == 2)
        self.assertEqual(self.discovery.polls, [(0, 1), (AN_HOUR, 1200)])
        self.assertEqual(self.numbers(), list(range(1, AN_HOUR + 1)))
        taken, held = (max(column) for column in zip(*self.pieces, strict=True))
        self.assertTrue(taken <= READ and held <= 2 * READ)
        self.assertEqual(sorted(set(at)), at)  # never two of them in one turn
        self.assertLess(max(counts), 1000)
        self.assertGreater(asked, 10)
        self.assertTrue(all(client.output(n).startswith(b"Status: 200") for n in range(1, asked + 1)))

    @inlineCallbacks
    def test_chunks_of_any_size_are_the_same_answer(self) -> Any:
        for size in (700, READ - 1, READ + 1, len(LONG)):
            yield self.rig.restart_watch(respond(encode_chunked(LONG, size)), hold_poll)
            yield self.rig.wait_until_due(lambda: len(self.discovery.polls) == 2)
            self.assertEqual(self.discovery.polls, [(0, 1), (SOME, 1200)], size)
            self.assertEqual(self.numbers(), list(range(1, SOME + 1)), size)
            self.assertLessEqual(max(taken for taken, _ in self.pieces), READ)

    @inlineCallbacks
    def test_what_has_come_is_taken_before_more_is_read(self) -> Any:
        """Where a turn takes less than a read brings; and what follows the answer is heard."""
        with patch.object(catch_up, "PIECE", READ // 4):
            yield self.rig.restart_watch(
                respond(encode_answer(LONG)),
                respond(encode_answer(encode_events([purge_event(SOME + 1)], SOME + 1))),
                hold_poll,
            )
            yield self.rig.wait_until_due(lambda: len(self.discovery.polls) == 3)
        self.assertEqual(self.numbers(), list(range(1, SOME + 2)))
        self.assertLessEqual(max(held for _, held in self.pieces), READ + 64)  # an open head counts 64
        self.assertLessEqual(max(taken for taken, _ in self.pieces), READ // 4)

    @inlineCallbacks
    def test_the_head_of_a_long_answer_counts(self) -> Any:
        """A refusal says nothing however long it is, and a connection that is to close is not asked again."""
        refusal, last = (
            encode_answer(LONG, 500),
            encode_answer(LONG).replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"),
        )
        for form, code, cursor in ((refusal, "status-500", 0), (last, "no-keep-alive", SOME)):
            with patch.object(channels, "log_disconnect") as ends:
                yield self.rig.restart_watch(respond(form), hold_poll)
                yield self.rig.wait_until_due(self.channel_is_down)
            self.assertEqual((ends.call_args.args[2], self.rig.watch_client.cursor), (code, cursor))
            self.assertEqual(self.numbers(), list(range(1, cursor + 1)))

    @inlineCallbacks
    def test_an_answer_of_the_size_of_a_piece_is_read_whole(self) -> Any:
        """The platform's ordinary day: neither the parser of long answers nor its pieces.  What follows one
        that is longer is heard as well."""
        events = purge_events(1, 150)  # under a turn's bound on events, so that its bound on bytes cuts
        space = b" " * (READ - len(encode_events(events, 150)))
        for more, pieces in ((b"", 0), (b" ", 2)):
            del self.pieces[:]
            later = encode_answer(encode_events(purge_events(151, 152), 152))
            yield self.rig.restart_watch(
                respond(encode_answer(encode_events(events, 150) + space + more)), respond(later), hold_poll
            )
            yield self.rig.wait_until_due(lambda: len(self.discovery.polls) == 3)
            self.assertEqual((self.numbers(), len(self.pieces)), (list(range(1, 153)), pieces))

    @inlineCallbacks
    def test_a_turn_takes_a_bounded_number_of_events(self) -> Any:
        """A relay spends some 20 us on each that still holds: 25 to 28 ms a turn without this."""
        counts, apply = list[int](), self.channel.apply_piece

        def noted(head: Commands, listed: list[Any]) -> Commands:
            counts.append(len(listed))
            return apply(head, listed)

        self.discovery.events = purge_events(1, SOME)
        with patch.object(self.channel, "apply_piece", noted):
            self.channel.start()
            yield self.rig.wait_until_due(lambda: self.channel.cursor == SOME)
        self.assertEqual((sum(counts), self.numbers()), (SOME, list(range(1, SOME + 1))))
        self.assertLessEqual(max(counts), 200 + catch_up.SLICE // 70)  # what one slice more may hold

    @inlineCallbacks
    def test_a_cut_in_the_middle_of_an_event_leaves_the_cursor_at_the_last_whole_one(self) -> Any:
        self.discovery.events = purge_events(1, SOME)
        for size in (MIDDLE - 2, MIDDLE + 1, MIDDLE + 30):
            for form in (
                encode_answer(LONG)[: len(encode_answer(LONG)) - len(LONG) + size],
                encode_chunked(LONG[:size], 900, b""),
            ):
                yield self.rig.restart_watch(respond(form, then=close_write_side))
                yield self.rig.wait_until_due(lambda: self.channel_is_down())
                self.assertEqual(self.numbers(), UNTIL_THEN)
                self.rig.advance(25.0)  # what was cut brought much: the shortest pause
                yield self.rig.wait_for_polls(3)
                self.assertEqual([resume for resume, _ in self.discovery.polls], [0, 2499, SOME])
                self.assertEqual(self.numbers(), list(range(1, SOME + 1)))

    def channel_is_down(self) -> bool:
        return bool(self.discovery.polls) and self.rig.watch_client.link is None

    @inlineCallbacks
    def test_what_is_spoilt_in_the_middle_ends_there(self) -> Any:
        """What was whole before it counts, once; what is held and read of it is bounded."""
        for name, (rest, code) in SPOILT.items():
            del self.pieces[:]
            with patch.object(channels, "log_disconnect") as ends:
                yield self.rig.restart_watch(respond(encode_chunked(LONG[:MIDDLE] + rest, 5000, b"")))
                yield self.rig.wait_until_due(self.channel_is_down)
            self.assertEqual(ends.call_args.args[2], code, name)
            taken = self.numbers()
            self.assertEqual(taken, UNTIL_THEN[: len(taken)], name)
            self.assertGreaterEqual(len(taken), 2499 if code != "commands-faults" else 1600, name)
            self.assertLessEqual(max(held for _, held in self.pieces), 2 * READ, name)
            self.assertLess(sum(taken for taken, _ in self.pieces), MIDDLE + EVENT + READ, name)
            self.assertEqual(self.rig.watch_client.cursor, len(taken), name)

    @inlineCallbacks
    def test_an_answer_without_end_is_bounded_in_bytes(self) -> Any:
        with (
            patch.object(channel_link, "LONGEST", len(LONG)),
            patch.object(channels, "log_disconnect") as ends,
        ):
            yield self.rig.restart_watch(
                respond(encode_chunked(encode_events(purge_events(1, 6000), 6000), 1000, b""))
            )
            yield self.rig.wait_until_due(self.channel_is_down)
        self.assertEqual(ends.call_args.args[2], "http-body-size")
        self.assertTrue(1000 < self.rig.watch_client.cursor <= SOME)  # less two pieces
        self.assertEqual(self.numbers(), list(range(1, self.rig.watch_client.cursor + 1)))

    @inlineCallbacks
    def test_whole_events_keep_a_long_answer_alive_up_to_a_bound(self) -> Any:
        """One each 700 ms is progress up to the bound of the whole; what is left is asked for again."""
        yield self.rig.restart_watch(respond(encode_chunked(LONG[:MIDDLE], 1000, b"")))
        yield self.rig.wait_until_due(lambda: self.rig.watch_client.cursor == 2499)
        started, number, link = self.rig.now_ms, 2500, self.rig.watch_client.link
        while not link.code:
            event = json.dumps(purge_event(number)).encode() + b", "
            self.discovery.connections[-1].transport.write(b"%x\r\n%b\r\n" % (len(event), event))
            yield self.rig.wait_until_due(lambda number=number: self.rig.watch_client.cursor == number)
            self.rig.advance(700.0)
            number += 1
        self.assertEqual(link.code, "long")
        self.assertTrue(29_000.0 <= self.rig.now_ms - started <= 31_500.0)
        yield self.rig.wait_for_disconnect(25.0)
        yield self.rig.wait_for_polls(2)
        self.assertEqual(self.discovery.polls[1][0], number - 1)

    @inlineCallbacks
    def test_a_dribble_without_whole_events_is_silence(self) -> Any:
        """So is a promise of much that never comes."""
        for length in (b"Content-Length: 2000000\r\n\r\n", b"Transfer-Encoding: chunked\r\n\r\nf0000\r\n"):
            yield self.rig.restart_watch(respond(RESPONSE_HEAD + length + LONG[:MIDDLE]))
            yield self.rig.wait_until_due(lambda: self.rig.watch_client.cursor == 2499)
            link, pieces = self.rig.watch_client.link, len(self.pieces)
            for byte in range(7):
                self.discovery.connections[-1].transport.write(LONG[MIDDLE + byte : MIDDLE + byte + 1])
                yield self.rig.wait_until_due(lambda pieces=pieces + byte: len(self.pieces) > pieces)
                self.rig.advance(100.0)
            self.assertEqual(link.code, "")
            self.rig.advance(100.0)
            self.assertEqual(link.code, "silent")
        yield self.rig.restart_watch(respond(RESPONSE_HEAD + b"Content-Length: 2000000\r\n\r\n"))
        yield self.rig.wait_until_due(lambda: self.rig.watch_client.link and self.rig.watch_client.link.long)
        self.rig.advance(801.0)
        self.assertEqual(self.rig.watch_client.link.code, "silent")

    @inlineCallbacks
    def test_drains_come_before_purges_where_both_wait(self) -> Any:
        events = purge_events(1, SOME)
        events[60] = {"cursor": 61, "nodes": {"hosts": [edge_entry("c1", health="leaving")]}}
        events[2990] = {"cursor": 2991, "nodes": {"hosts": [edge_entry("c2", health="left")]}}
        yield self.rig.restart_watch(respond(encode_answer({"cursor": SOME, "cmds": events})), hold_poll)
        yield self.rig.wait_until_due(lambda: len(self.discovery.polls) == 2)
        self.assertEqual(self.numbers()[:4], [61, 1, 2, 3])
        late = self.numbers().index(2991)
        self.assertTrue(late < 2990 and self.numbers()[late + 1] == late + 1)  # the first of its piece
        self.assertEqual(sorted(self.numbers()), list(range(1, SOME + 1)))
        self.assertEqual(self.discovery.polls, [(0, 1), (SOME, 1200)])

    @inlineCallbacks
    def test_an_event_without_a_number_is_taken_in_its_piece(self) -> Any:
        """What says of no number whom it drains is heeded, and the cursor stays among those that came."""
        events: list[Any] = purge_events(1, SOME)
        events[70] = {"nodes": {"hosts": [edge_entry("c1", health="leaving")]}}
        with patch.object(channels.log, "error") as faults:
            yield self.rig.restart_watch(respond(encode_answer({"cursor": SOME, "cmds": events})), hold_poll)
            yield self.rig.wait_until_due(lambda: len(self.discovery.polls) == 2)
        self.assertEqual(summarize_event(self.rig.received_events[0]), "c1:DRAINING")
        self.assertEqual((len(self.rig.received_events), self.rig.watch_client.cursor), (SOME, SOME))
        self.assertEqual(faults.call_args.kwargs["faults"], "event-cursor")

    @inlineCallbacks
    def test_an_answer_of_old_events_alone_is_asked_again_with_growing_pauses(self) -> Any:
        yield self.rig.restart_watch(*[respond(encode_answer(LONG))] * 7)
        self.rig.watch_client.replay(Commands(SOME, ()))
        for polls, pause_ms in enumerate((200.0, 400.0, 800.0, 1600.0, 2500.0, 2500.0), 1):
            yield self.rig.wait_until_due(
                lambda polls=polls: self.rig.watch_client.link and self.rig.watch_client.link.polls == polls
            )
            self.rig.advance(pause_ms - 1.0)
            self.assertFalse(self.rig.watch_client.link.asked)
            self.rig.advance(1.0)
            self.assertTrue(self.rig.watch_client.link.asked)
        self.assertEqual(
            (self.rig.received_events, {resume for resume, _ in self.discovery.polls}), ([], {SOME})
        )
        yield self.rig.wait_until_due(lambda: self.rig.watch_client.link.polls == 7)
        self.rig.advance(2500.0)
        yield wait_until(lambda: self.discovery.held_poll)
        self.rig.advance(1200.0)
        self.discovery.answer_held_poll()  # a poll that was held, as all should be
        yield wait_until(lambda: len(self.discovery.polls) == 9)
        self.rig.watch_client.link.close("test")
        yield self.rig.wait_until_due(lambda: self.rig.watch_client.link is None)
        self.assertEqual(self.rig.deadlines.next_due() - self.rig.now_ms, 25.0)

    @inlineCallbacks
    def test_much_that_ends_without_an_event_is_asked_again_with_growing_pauses(self) -> Any:
        """Also behind a first one each time; progress brings the short pause back."""
        huge = [
            RESPONSE_HEAD
            + b"Content-Length: 9000000\r\n\r\n"
            + encode_events([purge_event(number)], 9)[:-2]
            + b", "
            + JUNK
            for number in range(1, 6)
        ]
        some = RESPONSE_HEAD + b"Content-Length: 9000000\r\n\r\n" + LONG[:MIDDLE]
        yield self.rig.restart_watch(
            *[respond(one) for one in huge], respond(some, then=close_write_side), hold_poll
        )
        for wait_ms in (200.0, 400.0, 800.0, 1600.0, 2500.0, 25.0):
            yield self.rig.wait_until_due(
                lambda: len(self.discovery.polls) and self.rig.watch_client.link is None
            )
            self.assertAlmostEqual(self.rig.deadlines.next_due() - self.rig.now_ms, wait_ms)
            polls = len(self.discovery.polls)
            self.rig.advance(wait_ms)
            yield self.rig.wait_for_polls(polls + 1)
        self.assertEqual([resume for resume, _ in self.discovery.polls], [0, 1, 2, 3, 4, 5, 2499])
