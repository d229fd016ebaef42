"""The configuration gets another address of discovery while the watch polls, reads or connects."""

from __future__ import annotations

import socket
from typing import Any

import pytest
from fakes.event_loop import Steps, wait_until
from fakes.fake_discovery import ScriptedDiscovery, hold_poll, respond
from fakes.invalid_answers import FIRST_EVENT_ANSWER
from fakes.watch_messages import encode_answer, purge_events
from twisted.internet.defer import inlineCallbacks

from tests.net.discovery.builders import PURGE_2, WatchTestCase

RETRY_MS = 50.0
EVENT_COUNT = 3000  # events of a long response


class AddressChangeTest(WatchTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.watch_client = self.environment.watch_client

    def build_discovery(self, events: list[dict[str, Any]]) -> ScriptedDiscovery:
        discovery = ScriptedDiscovery()
        self.addCleanup(discovery.stop)
        discovery.events = events
        return discovery

    @inlineCallbacks
    def test_a_new_address_while_a_poll_is_open(self) -> Steps[None]:
        other = self.build_discovery([{"cursor": 1}, PURGE_2])
        self.discovery.script = [respond(FIRST_EVENT_ANSWER), hold_poll]
        self.watch_client.start()
        yield self.environment.wait_for_polls(2)
        self.watch_client.change_address(self.discovery.address)
        assert self.watch_client.connection.end_reason == ""  # the same address changes nothing
        self.watch_client.change_address(other.address)
        old_connection = self.discovery.connections[0]
        old_connection.transport.write(FIRST_EVENT_ANSWER)  # too late to be read
        yield self.environment.wait_for_disconnect(RETRY_MS)
        yield wait_until(lambda: len(other.polls) == 2 and old_connection.disconnect_cause)
        assert other.polls == [(1, 1200), (2, 1200)]
        assert len(self.environment.received_events) == 2
        assert old_connection.disconnect_cause == "ConnectionDone"  # closed gracefully, not reset

    @inlineCallbacks
    def test_only_the_last_of_several_addresses_is_polled_and_no_event_is_repeated(self) -> Steps[None]:
        """The address changes several times in one iteration, also back to an earlier address."""
        others = [self.build_discovery([{"cursor": 1}, PURGE_2]) for _ in range(3)]
        self.discovery.script = [respond(FIRST_EVENT_ANSWER), hold_poll]
        self.watch_client.start()
        yield self.environment.wait_for_polls(2)
        for other in (*others, *others[:2], others[2]):
            self.watch_client.change_address(other.address)
        yield self.environment.wait_for_disconnect(RETRY_MS)
        yield wait_until(lambda: len(others[2].polls) == 2)
        assert [other.polls for other in others] == [[], [], [(1, 1200), (2, 1200)]]
        assert len(self.environment.received_events) == 2

    @inlineCallbacks
    def test_a_new_address_while_a_long_response_is_read(self) -> Steps[None]:
        other = self.build_discovery(purge_events(1, EVENT_COUNT))
        long_response = encode_answer({"cursor": EVENT_COUNT, "cmds": other.events})
        self.discovery.script = [respond(long_response)]
        self.watch_client.start()
        yield wait_until(lambda: self.watch_client.cursor)
        cursor = self.watch_client.cursor
        self.watch_client.change_address(other.address)
        yield self.environment.wait_for_disconnect(RETRY_MS)
        yield self.environment.wait_until_due(lambda: len(other.polls) == 2)
        assert 0 < cursor < EVENT_COUNT
        assert other.polls == [(cursor, 1), (EVENT_COUNT, 1200)]
        assert self.delivered_cursors() == list(range(1, EVENT_COUNT + 1))

    @inlineCallbacks
    def test_a_new_address_while_an_attempt_to_connect_hangs(self) -> Steps[None]:
        with socket.socket() as listener, socket.socket() as filler:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            filler.connect(listener.getsockname())  # the queue is full, so that further connections hang
            client = self.environment.build_watch_client(listener.getsockname())
            client.start()
            self.environment.advance(300.0)
            assert client.is_connecting
            client.change_address(self.discovery.address)
            self.environment.advance(RETRY_MS)
            yield self.environment.wait_for_polls(1)
            listener.accept()[0].close()
            listener.setblocking(False)
            with pytest.raises(BlockingIOError):
                listener.accept()
