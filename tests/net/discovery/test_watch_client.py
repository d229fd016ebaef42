"""The watch on discovery on real connections: polls, timeouts, malformed responses and retries."""

from __future__ import annotations

import os
from unittest.mock import Mock, patch

from fakes.event_loop import Steps, wait_until
from fakes.fake_discovery import hold_poll, respond
from fakes.invalid_answers import FIRST_EVENT_ANSWER, INVALID_ANSWERS, SURPLUS_ANSWERS
from fakes.watch_environment import chosen_server
from fakes.watch_messages import ORIGIN_ENTRY, edge_entry, encode_answer
from twisted.internet.defer import inlineCallbacks

from tests.net.discovery.builders import PURGE_1, PURGE_2, WatchTestCase, build_service, encode_commands
from thornjunction.net.discovery import watch_client
from thornjunction.net.discovery.retry_policy import MAX_RETRY_DELAY_MS
from thornjunction.net.discovery.watch import WatchHandlers
from thornjunction.net.discovery.watch_client import WatchClient
from thornjunction.net.discovery.watch_context import WatchContext
from thornjunction.net.wire.commands import decode_commands


class WatchClientTest(WatchTestCase):
    @inlineCallbacks
    def test_an_unresponsive_connection_is_replaced_and_polls_resume_from_the_last_event(self) -> Steps[None]:
        """Two timeouts, one after half a response, take less than 6 s; a slow response is eventually read."""
        environment = self.environment
        client = environment.watch_client
        half_response = FIRST_EVENT_ANSWER[:-9]
        self.discovery.script = [respond(FIRST_EVENT_ANSWER), respond(half_response), *[hold_poll] * 3]
        client.start()
        yield environment.wait_for_polls(2)
        started_ms = environment.now_ms
        response_timeouts = ((3, 2000.0, 2500.0), (4, 1601.0, 4500.0), (5, 3201.0, 8000.0))
        for polls, timeout_ms, max_elapsed_ms in response_timeouts:
            environment.advance(timeout_ms - 1.0)
            assert client.connection.end_reason == ""
            environment.advance(1.0)
            yield environment.wait_for_disconnect(200.0)
            yield environment.wait_for_polls(polls)
            assert environment.now_ms - started_ms < max_elapsed_ms
        environment.advance(4900.0)
        slow_response = encode_answer({"cursor": 2, "cmds": [PURGE_2]})
        self.discovery.connections[-1].transport.write(slow_response)
        yield environment.wait_for_polls(6)
        assert self.discovery.polls == [(0, 1), (1, 1200), *([(1, 1)] * 3), (2, 1200)]
        assert len(environment.received_events) == 2

    @inlineCallbacks
    def test_a_delayed_process_reads_its_sockets_before_it_closes_a_connection(self) -> Steps[None]:
        environment = self.environment
        for delay_ms in (0.0, 3000.0):
            yield environment.restart_watch(hold_poll)
            yield environment.wait_for_polls(1)
            connection = environment.watch_client.connection
            environment.now_ms = connection.response_due_ms + delay_ms
            environment.deadlines.run_due(environment.now_ms)  # before any socket is read
            self.discovery.connections[-1].transport.write(FIRST_EVENT_ANSWER)
            yield wait_until(lambda connection=connection: connection.end_reason or connection.polls)
            assert (connection.end_reason, len(environment.received_events)) == ("", 1)

    @inlineCallbacks
    def test_malformed_responses_and_surplus_bytes_change_nothing(self) -> Steps[None]:
        environment = self.environment
        self.discovery.events = [PURGE_1]
        for name, step in (INVALID_ANSWERS | SURPLUS_ANSWERS).items():
            yield environment.restart_watch(step)
            yield environment.wait_for_failures(1)
            yield environment.wait_for_polls(3)
            resume = int(name in SURPLUS_ANSWERS)
            assert self.discovery.polls == [(0, 1), (resume, 1), (1, 1200)], name
            assert len(environment.received_events) == 1, name

    @inlineCallbacks
    def test_a_discovery_that_holds_no_poll_is_polled_with_growing_pauses(self) -> Steps[None]:
        """The cursor does not exceed the received events either."""
        environment = self.environment
        client = environment.watch_client
        self.discovery.script = [respond(encode_answer({"cursor": 9, "cmds": []}))] * 9
        client.start()
        for polls, pause_ms in enumerate((50.0, 100.0, 200.0, 400.0, 400.0), 2):
            yield wait_until(lambda polls=polls: self.unproductive_polls() == polls - 1)
            environment.advance(pause_ms - 1.0)
            assert len(self.discovery.polls) == polls
            environment.advance(1.0)
        yield wait_until(lambda: self.unproductive_polls() == 6)
        self.discovery.connections[0].transport.write(FIRST_EVENT_ANSWER)  # no poll is open
        yield environment.wait_for_disconnect(0.0)
        assert set(self.resume_positions()) == {0}
        assert environment.received_events == []

    def unproductive_polls(self) -> int:
        connection = self.environment.watch_client.connection
        return 0 if connection is None else connection.unproductive_polls

    @inlineCallbacks
    def test_a_long_outage_of_discovery_costs_few_attempts_log_lines_and_descriptors(self) -> Steps[None]:
        environment = self.environment
        yield self.discovery.port.stopListening()
        open_descriptors = len(os.listdir("/proc/self/fd"))
        started_ms = environment.now_ms
        with patch.object(watch_client, "log_disconnect") as log_disconnect:
            environment.watch_client.start()
            yield environment.wait_for_failures(200)
        yield environment.close_watch()
        assert len(os.listdir("/proc/self/fd")) <= open_descriptors
        assert log_disconnect.call_count < 10
        assert environment.now_ms - started_ms > 200 * 0.4 * MAX_RETRY_DELAY_MS

    @inlineCallbacks
    def test_a_drain_published_during_an_outage_is_applied_once_discovery_responds(self) -> Steps[None]:
        environment = self.environment
        client = environment.watch_client
        service = build_service()
        self.addCleanup(service.timer_service.stop)
        client.feed.handle_command = service.handle_command
        entries = [edge_entry("c1"), edge_entry("c2"), ORIGIN_ENTRY]
        self.discovery.publish(nodes={"whole": True, "hosts": entries})
        client.start()
        yield environment.wait_for_polls(2)
        drained = chosen_server(service)
        self.discovery.held_poll = None  # discovery does not respond from here on
        self.discovery.publish(nodes={"hosts": [edge_entry(drained, health="leaving")]})
        environment.advance(2000.0)
        yield wait_until(lambda: client.connection is None)
        assert chosen_server(service) == drained  # the known state is kept
        environment.advance(100.0)
        yield wait_until(lambda: client.cursor == 2)
        assert chosen_server(service) != drained


def test_an_event_whose_handling_fails_blocks_no_other_event_and_is_not_repeated() -> None:
    handle_command = Mock(side_effect=OverflowError)
    context = WatchContext(Mock(), Mock(), float)
    client = WatchClient(context, ("127.0.0.1", 1), WatchHandlers(handle_command))
    for _ in range(2):
        client.handle_response(decode_commands(encode_commands(PURGE_1, PURGE_2)), is_stable=False)
    assert handle_command.call_count == 2
    assert client.cursor == 2
