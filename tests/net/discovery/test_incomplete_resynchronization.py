"""Long responses on real connections that are truncated, malformed, endless, slow or without new events."""

from __future__ import annotations

import json
from unittest.mock import patch

import pytest
from fakes.event_log import encode_events
from fakes.event_loop import Steps, wait_until
from fakes.fake_discovery import close_write_side, hold_poll, respond
from fakes.watch_messages import RESPONSE_HEAD, encode_answer, encode_chunked, purge_event, purge_events
from twisted.internet.defer import inlineCallbacks

from tests.net.discovery.resynchronization_test_case import (
    CURSOR_BEFORE_MIDDLE,
    CURSORS_BEFORE_MIDDLE,
    EVENT_BYTES,
    EVENT_COUNT,
    LONG_BODY,
    MIDDLE,
    MIN_DISCARDED_RETRY_MS,
    MIN_RETRY_MS,
    READ_BYTES,
    ResynchronizationTestCase,
)
from thornjunction.net.discovery import watch_client, watch_connection
from thornjunction.net.discovery.connection_state import ConnectionState
from thornjunction.net.wire.commands import Commands

BEFORE_MIDDLE = LONG_BODY[:MIDDLE]
AFTER_MIDDLE = LONG_BODY[MIDDLE:]
WITHOUT_LAST_CHUNK = b""
LONG_CONTENT_LENGTH = b"Content-Length: 2000000\r\n\r\n"
LONG_CHUNK = b"Transfer-Encoding: chunked\r\n\r\nf0000\r\n"
# Rounding error of the difference of two times.
ROUNDING_MS = 5e-8
ENDLESS_EVENT = b'"' + b"x" * (2 * EVENT_BYTES)

# By description: the bytes after the middle of a response, and the code of their fault.
MALFORMED_ENDS: dict[str, tuple[bytes, str]] = {
    "garbage": (b"}" + AFTER_MIDDLE, "commands-form"),
    "NaN as a number": (AFTER_MIDDLE.replace(b"1764576002623", b"NaN"), "commands-form"),
    "a number of 5,000 digits": (b"9" * 5000 + b"," + AFTER_MIDDLE, "commands-form"),
    "an encoded surrogate": (b'"\xed\xa0\x80"' + AFTER_MIDDLE, "commands-form"),
    "invalid UTF-8": (b'"\xff"' + AFTER_MIDDLE, "commands-form"),
    "a premature end": (b'{}], "cursor": 9} ' + AFTER_MIDDLE, "commands-form"),
    "deep nesting": (b"[" * 100_000, "commands-depth"),
    "an endless event": (ENDLESS_EVENT, "event-size"),
    "an event with too many values": (b"[" + b"{}," * 200_000, "event-size"),
    "only faulty events": (b"7," * 2000 + AFTER_MIDDLE, "commands-faults"),
    "only spaces": (b" " * (2 * EVENT_BYTES), "event-size"),
}


class IncompleteResynchronizationTest(ResynchronizationTestCase):
    @inlineCallbacks
    def test_after_a_cut_within_an_event_the_cursor_is_at_the_last_complete_event(self) -> Steps[None]:
        self.discovery.events = purge_events(1, EVENT_COUNT)
        response = encode_answer(LONG_BODY)
        head_bytes = len(response) - len(LONG_BODY)
        for body_bytes in (MIDDLE - 2, MIDDLE + 1, MIDDLE + 30):
            cut_responses = (
                response[: head_bytes + body_bytes],
                encode_chunked(LONG_BODY[:body_bytes], 900, WITHOUT_LAST_CHUNK),
            )
            for cut_response in cut_responses:
                yield self.environment.restart_watch(respond(cut_response, then=close_write_side))
                yield self.environment.wait_until_due(self.is_disconnected_after_polls)
                assert self.delivered_cursors() == CURSORS_BEFORE_MIDDLE
                self.environment.advance(MIN_RETRY_MS)  # the shortest pause, because there were new events
                yield self.environment.wait_for_polls(3)
                assert self.resume_positions() == [0, CURSOR_BEFORE_MIDDLE, EVENT_COUNT]
                assert self.delivered_cursors() == list(range(1, EVENT_COUNT + 1))

    @inlineCallbacks
    def test_a_response_that_is_malformed_in_its_middle_is_abandoned_there(self) -> Steps[None]:
        """Events before the fault are delivered once; the bytes read and buffered after it are limited."""
        for name, (end, code) in MALFORMED_ENDS.items():
            self.parts.clear()
            response = encode_chunked(BEFORE_MIDDLE + end, 5000, WITHOUT_LAST_CHUNK)
            with patch.object(watch_client, "log_disconnect") as log_disconnect:
                yield self.environment.restart_watch(respond(response))
                yield self.environment.wait_until_due(self.is_disconnected_after_polls)
            assert log_disconnect.call_args.args[2] == code, name
            cursors = self.delivered_cursors()
            assert cursors == CURSORS_BEFORE_MIDDLE[: len(cursors)], name
            min_events = 1600 if code == "commands-faults" else CURSOR_BEFORE_MIDDLE
            assert len(cursors) >= min_events, name
            assert self.max_buffered_bytes() <= 2 * READ_BYTES, name
            parsed_bytes = sum(part.parsed_bytes for part in self.parts)
            assert parsed_bytes < MIDDLE + EVENT_BYTES + READ_BYTES, name
            assert self.environment.watch_client.cursor == len(cursors), name

    @inlineCallbacks
    def test_an_endless_response_is_limited_in_bytes(self) -> Steps[None]:
        body = encode_events(purge_events(1, 2 * EVENT_COUNT), 2 * EVENT_COUNT)
        with (
            patch.object(watch_connection, "MAX_BODY_BYTES", len(LONG_BODY)),
            patch.object(watch_client, "log_disconnect") as log_disconnect,
        ):
            yield self.environment.restart_watch(respond(encode_chunked(body, 1000, WITHOUT_LAST_CHUNK)))
            yield self.environment.wait_until_due(self.is_disconnected_after_polls)
        assert log_disconnect.call_args.args[2] == "http-body-size"
        cursor = self.environment.watch_client.cursor
        assert 1000 < cursor <= EVENT_COUNT  # up to two parts below the limit
        assert self.delivered_cursors() == list(range(1, cursor + 1))

    @inlineCallbacks
    def test_complete_events_extend_the_timeout_of_a_long_response_up_to_a_limit(self) -> Steps[None]:
        """An event every 700 ms is progress until the limit; the missing events are polled again."""
        environment = self.environment
        yield environment.restart_watch(respond(encode_chunked(BEFORE_MIDDLE, 1000, WITHOUT_LAST_CHUNK)))
        client = environment.watch_client
        yield environment.wait_until_due(lambda: client.cursor == CURSOR_BEFORE_MIDDLE)
        connection = client.connection
        started_ms = environment.now_ms
        cursor = CURSOR_BEFORE_MIDDLE
        while not connection.end_reason:
            cursor += 1
            event = json.dumps(purge_event(cursor)).encode() + b", "
            self.discovery.connections[-1].transport.write(b"%x\r\n%b\r\n" % (len(event), event))
            yield environment.wait_until_due(lambda cursor=cursor: client.cursor == cursor)
            environment.advance(700.0)
        assert connection.end_reason == "long"
        assert 29000.0 <= environment.now_ms - started_ms <= 31500.0
        yield environment.wait_for_disconnect(MIN_RETRY_MS)
        yield environment.wait_for_polls(2)
        assert self.resume_positions()[1] == cursor

    @inlineCallbacks
    def test_single_bytes_without_a_complete_event_do_not_extend_the_timeout(self) -> Steps[None]:
        environment = self.environment
        for head in (LONG_CONTENT_LENGTH, LONG_CHUNK):
            yield environment.restart_watch(respond(RESPONSE_HEAD + head + BEFORE_MIDDLE))
            client = environment.watch_client
            yield environment.wait_until_due(lambda client=client: client.cursor == CURSOR_BEFORE_MIDDLE)
            connection = client.connection
            for position in range(MIDDLE, MIDDLE + 7):
                part_count = len(self.parts)
                self.discovery.connections[-1].transport.write(LONG_BODY[position : position + 1])
                yield environment.wait_until_due(lambda count=part_count: len(self.parts) > count)
                environment.advance(100.0)
            assert connection.end_reason == ""
            environment.advance(100.0)
            assert connection.end_reason == "silent"
        # The announcement of a long body that is never sent does not extend the timeout either.
        yield environment.restart_watch(respond(RESPONSE_HEAD + LONG_CONTENT_LENGTH))
        yield environment.wait_until_due(self.is_resynchronizing)
        environment.advance(801.0)
        assert environment.watch_client.connection.end_reason == "silent"

    def is_resynchronizing(self) -> bool:
        connection = self.environment.watch_client.connection
        return connection is not None and connection.state is ConnectionState.RESYNCHRONIZING

    @inlineCallbacks
    def test_pauses_grow_after_long_responses_with_only_known_events(self) -> Steps[None]:
        environment = self.environment
        yield environment.restart_watch(*[respond(encode_answer(LONG_BODY))] * 7)
        client = environment.watch_client
        client.replay(Commands(EVENT_COUNT, ()))
        for polls, pause_ms in enumerate((200.0, 400.0, 800.0, 1600.0, 2500.0, 2500.0), 1):
            yield environment.wait_until_due(lambda polls=polls: self.answered_polls() == polls)
            environment.advance(pause_ms - 1.0)
            assert client.connection.state is ConnectionState.PAUSED
            environment.advance(1.0)
            assert client.connection.state is ConnectionState.POLLING
        assert (environment.received_events, set(self.resume_positions())) == ([], {EVENT_COUNT})
        yield environment.wait_until_due(lambda: self.answered_polls() == 7)
        environment.advance(2500.0)
        yield wait_until(lambda: self.discovery.held_poll)
        environment.advance(1200.0)
        self.discovery.answer_held_poll()  # this poll was kept open for its full time
        yield wait_until(lambda: len(self.discovery.polls) == 9)
        client.connection.close("test")
        yield environment.wait_until_due(lambda: client.connection is None)
        assert environment.deadlines.next_due() - environment.now_ms == MIN_RETRY_MS

    @inlineCallbacks
    def test_pauses_grow_after_responses_with_many_bytes_and_no_event(self) -> Steps[None]:
        """Pauses grow even if each response contains one event; real progress resets them."""
        environment = self.environment
        head = RESPONSE_HEAD + b"Content-Length: 9000000\r\n\r\n"
        long_responses = [
            head + encode_events([purge_event(cursor)], 9)[:-2] + b", " + ENDLESS_EVENT
            for cursor in range(1, 6)
        ]
        progress_step = respond(head + BEFORE_MIDDLE, then=close_write_side)
        yield environment.restart_watch(*map(respond, long_responses), progress_step, hold_poll)
        for delay_ms in (MIN_DISCARDED_RETRY_MS, 400.0, 800.0, 1600.0, 2500.0, MIN_RETRY_MS):
            yield environment.wait_until_due(self.is_disconnected_after_polls)
            remaining_ms = environment.deadlines.next_due() - environment.now_ms
            assert remaining_ms == pytest.approx(delay_ms, rel=0.0, abs=ROUNDING_MS)
            polls = len(self.discovery.polls)
            environment.advance(delay_ms)
            yield environment.wait_for_polls(polls + 1)
        assert self.resume_positions() == [0, 1, 2, 3, 4, 5, CURSOR_BEFORE_MIDDLE]
