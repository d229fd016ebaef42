"""Outcomes of attempts on real sockets, and the connections and streams that attempts use."""

from __future__ import annotations

from typing import Any
from unittest.mock import patch

from fakes.event_loop import Steps
from fakes.loopback_environment import LoopbackEnvironment, ScriptedAnswer
from twisted.internet.defer import inlineCallbacks
from twisted.trial.unittest import TestCase

from tests.loopback import make_loopback_environment
from thornjunction import interface as api
from thornjunction.core.ports import ClientRequest, UpstreamRequest
from thornjunction.net.event_loop.timer_service import core_ms
from thornjunction.net.upstream.dispatcher import MAX_CONNECTIONS_IF_EXHAUSTED
from thornjunction.net.upstream.stream_ids import MAX_CANCELLED_IDS

# The entity tag of the copy that the fake cache server sends.
COPY_TAG = "t1"

# The answer of a cache server, the entity tag of the client's copy, and the expected outcome.
OUTCOMES: list[tuple[ScriptedAnswer, str, api.AttemptStatus]] = [
    ((b"DONE", b"x"), "", api.AttemptStatus.SUCCEEDED),
    ((b"LACK", b""), "", api.AttemptStatus.CACHE_MISS),
    ((b"WAIT", b""), "", api.AttemptStatus.OVERLOADED),
    ((b"BROKE", b""), "", api.AttemptStatus.ERROR),
    ((b"PAST", b""), "", api.AttemptStatus.NOT_STARTED),
    # "KEEP" is invalid if the client has no copy.
    ((b"KEEP", b""), "", api.AttemptStatus.ERROR),
    # The answer does not name the copy that the client may keep.
    ((b"KEEP", b""), COPY_TAG, api.AttemptStatus.ERROR),
    # The answer names the client's copy.
    ((b"KEEP", b"x"), COPY_TAG, api.AttemptStatus.SUCCEEDED),
]


class UpstreamOutcomesTest(TestCase):
    timeout = 20

    def setUp(self) -> None:
        self.environment: LoopbackEnvironment = make_loopback_environment()
        self.addCleanup(self.environment.stop)
        self.pool = self.environment.pool
        self.pool.report_to(self)
        self.outcomes: list[tuple[int, api.AttemptStatus, bytes | None]] = []

    def attempt_ended(
        self, number: int, status: api.AttemptStatus, content: Any = None, report: Any = None
    ) -> None:
        """Record the outcome that the pool reports."""
        self.outcomes.append((number, status, content.body if content else None))

    def send(self, number: int, name: str, **fields: Any) -> None:
        """Start an attempt at the edge."""
        request = ClientRequest(name, "films", "00000000000000ff", 900.0, **fields)
        self.pool.send(UpstreamRequest(number, request, api.StartAttempt("r", "edge1", 900.0, "origin")))

    @inlineCallbacks
    def send_without_answer(self, number: int, name: str) -> Steps[None]:
        """Start an attempt that the edge does not answer, and wait until the edge has received it."""
        self.environment.script = [None]
        received = self.environment.next_request()
        self.send(number, name)
        yield received

    @inlineCallbacks
    def send_one_by_one(self, count: int) -> Steps[None]:
        """Start attempts, each once the edge has received the previous one and no connect is in progress."""
        for number in range(count):
            self.send(number, f"t{number}")
            yield self.environment.wait_until(
                lambda number=number: len(self.environment.received_requests) == number + 1
            )
            yield self.environment.wait_until(lambda: self.pool.upstreams["edge1"].connect_attempt is None)

    def stream_counts(self) -> list[int]:
        """Return the number of streams in flight on each connection."""
        return [len(connection.streams) for connection in self.pool.connections]

    @inlineCallbacks
    def test_each_status_word_has_its_outcome(self) -> Steps[None]:
        for number, (answer, client_copy, status) in enumerate(OUTCOMES):
            self.environment.script = [answer]
            self.send(number, f"t{number}", if_none_match=client_copy)
            yield self.environment.wait_until(lambda number=number: len(self.outcomes) > number)
            assert self.outcomes[number][:2] == (number, status)

    @inlineCallbacks
    def test_a_reset_may_have_executed_the_request_and_a_refusal_has_not(self) -> Steps[None]:
        yield self.send_without_answer(1, "a")
        yield self.environment.ports[0].stopListening()
        self.environment.server_connections[0].transport.abortConnection()
        yield self.environment.wait_until(lambda: len(self.outcomes) == 1)
        self.send(2, "b")
        yield self.environment.wait_until(lambda: len(self.outcomes) == 2)
        statuses = [status for _, status, _ in self.outcomes]
        assert statuses == [api.AttemptStatus.CONNECTION_RESET, api.AttemptStatus.CONNECTION_REFUSED]

    @inlineCallbacks
    def test_a_late_answer_is_not_matched_to_a_later_attempt_with_the_same_name(self) -> Steps[None]:
        yield self.send_without_answer(1, "same")
        self.pool.cancel(1)
        first_connection, first_id = self.environment.received_requests[0]
        self.environment.script = [None]
        received = self.environment.next_request()
        self.send(2, "same")
        first_connection.send_answer(first_id, b"DONE", b"late")
        yield received
        second_connection, second_id = self.environment.received_requests[1]
        assert second_connection is not first_connection
        second_connection.send_answer(second_id, b"DONE", b"right")
        yield self.environment.wait_until(lambda: self.outcomes)
        assert self.outcomes == [(2, api.AttemptStatus.SUCCEEDED, b"right")]

    @inlineCallbacks
    def test_garbage_from_a_cache_server_ends_its_connection(self) -> Steps[None]:
        yield self.send_without_answer(1, "a")
        self.environment.server_connections[0].transport.write(b"*9999\r\n")
        yield self.environment.wait_until(lambda: self.outcomes)
        assert self.outcomes == [(1, api.AttemptStatus.CONNECTION_RESET, None)]

    @inlineCallbacks
    def test_a_length_that_covers_later_answers_closes_the_connection(self) -> Steps[None]:
        """Bytes that complete no answer are not activity; requests in flight may have been executed."""
        self.environment.script = [None, None]
        for number, name in enumerate("ab"):
            self.send(number, name)
        yield self.environment.wait_until(lambda: len(self.environment.received_requests) == 2)
        connection, _ = self.environment.received_requests[0]
        connection.transport.write(b"*4\r\n$1\r\na\r\n$4\r\nDONE\r\n$1\r\n-\r\n$99999\r\n")
        connection.send_answer(b"b", b"DONE", b"swallowed")
        yield self.environment.wait_until(
            lambda: any(each.has_partial_response for each in self.pool.connections)
        )
        with patch.object(self.pool.context, "clock", lambda: core_ms() + 500.0):
            assert self.outcomes == []
            self.environment.timer_service.deadlines.run_due(core_ms() + 500.0)
        yield self.environment.wait_until(lambda: len(self.outcomes) == 2)
        assert {outcome[1:] for outcome in self.outcomes} == {(api.AttemptStatus.CONNECTION_RESET, None)}

    @inlineCallbacks
    def test_requests_in_flight_are_spread_over_connections(self) -> Steps[None]:
        """A malformed answer closes its connection, so not all requests in flight may share one."""
        self.environment.script = [None] * 8
        yield self.send_one_by_one(8)
        assert sorted(self.stream_counts()) == [2, 3, 3]

    @inlineCallbacks
    def test_more_connections_are_opened_up_to_a_bound_if_none_has_capacity(self) -> Steps[None]:
        """Four connections of 32 streams are too few for a big server at its peak: requests were rejected."""
        streams = self.pool.context.limits.max_streams
        capacity = streams * MAX_CONNECTIONS_IF_EXHAUSTED
        self.environment.script = [None] * (capacity + 1)
        yield self.send_one_by_one(capacity)
        assert self.stream_counts() == [streams] * MAX_CONNECTIONS_IF_EXHAUSTED
        self.send(capacity, "past")
        assert self.outcomes == [(capacity, api.AttemptStatus.NOT_STARTED, None)]

    @inlineCallbacks
    def test_cancelled_attempts_exhaust_a_connection(self) -> Steps[None]:
        """Ids of cancelled attempts are kept to recognize late answers, up to a limit on each connection."""
        for number in range(MAX_CANCELLED_IDS + 1):
            self.environment.script = [None]
            self.send(number, f"t{number}")
            yield self.environment.wait_until(
                lambda number=number: len(self.environment.received_requests) == number + 1
            )
            if number:
                self.pool.cancel(number)
        self.environment.script = [(b"DONE", b"x")]
        self.send(9999, "next")
        yield self.environment.wait_until(lambda: self.outcomes)
        requests = self.environment.received_requests
        assert requests[-1][0] is not requests[0][0]
