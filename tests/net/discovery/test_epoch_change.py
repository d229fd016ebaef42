"""Discovery restarts its event numbers or reports stale cursors, with real connections and decisions."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from fakes.event_loop import Steps, wait_until
from fakes.fake_discovery import FakeDiscoveryConnection
from fakes.watch_environment import chosen_server
from fakes.watch_messages import ORIGIN_ENTRY, edge_entry, encode_answer, purge_events, summarize_event
from twisted.internet.defer import inlineCallbacks

from tests.net.discovery.builders import WatchTestCase, build_service
from thornjunction.net.wire.commands import Command, Commands, ListChange

EVENT_COUNT = 3000  # events of a long response
LAST_CURSOR = 10  # number of the last event that discovery has at the start
MAX_PAUSE_MS = 400.0
POLL_STEP_MS = 50.0
MAX_STALE_POLLS = 99


def complete_list(*names: str) -> dict[str, Any]:
    """Event with a complete list of these edge caches and the origin."""
    return {"nodes": {"whole": True, "hosts": [*map(edge_entry, names), ORIGIN_ENTRY]}}


class EpochChangeTest(WatchTestCase):
    timeout = 20

    def setUp(self) -> None:
        super().setUp()
        self.watch_client = self.environment.watch_client
        self.service = build_service()
        self.addCleanup(self.service.timer_service.stop)
        self.watch_client.feed.handle_command = self.handle_command
        self.lists: list[str] = []
        self.stale_cursor: int | None = None  # cursor in the responses to polls that are not from 0
        self.answer_poll: Callable[[FakeDiscoveryConnection, int, int], None] = self.discovery.handle_poll
        self.discovery.handle_poll = self.handle_poll  # type: ignore[method-assign]
        self.discovery.publish(**complete_list("c1", "c2"))
        for group in range(8):
            self.discovery.publish(drop={"family": group, "when": 5})
        self.discovery.publish(nodes={"hosts": [edge_entry("c1", health="leaving")]})

    def handle_command(self, command: Command) -> None:
        if isinstance(command, ListChange):
            self.lists.append(summarize_event(command))
        self.service.handle_command(command)

    def handle_poll(self, connection: FakeDiscoveryConnection, resume: int, block_ms: int) -> None:
        if not resume:
            self.stale_cursor = None
        if self.stale_cursor is None:
            self.answer_poll(connection, resume, block_ms)
            return
        self.discovery.polls.append((resume, block_ms))
        connection.transport.write(encode_answer({"cursor": self.stale_cursor, "cmds": []}))

    @inlineCallbacks
    def start_watch(self) -> Steps[None]:
        """Start the watch, and wait until it has applied discovery's state, in which c1 drains."""
        self.watch_client.start()
        yield wait_until(lambda: self.discovery.held_poll and self.watch_client.cursor == LAST_CURSOR)
        assert chosen_server(self.service) == "c2"
        self.lists.clear()

    @inlineCallbacks
    def report_stale_cursor(self, cursor: int, max_polls: int = MAX_STALE_POLLS) -> Steps[float]:
        """Report an earlier cursor to ``max_polls`` polls or until one is from 0; returns the elapsed ms."""
        started_ms = self.environment.now_ms
        self.stale_cursor = cursor
        connection = self.discovery.held_poll.connection
        self.discovery.held_poll = None
        connection.transport.write(encode_answer({"cursor": cursor, "cmds": []}))
        self.discovery.polls.clear()
        while len(self.discovery.polls) < max_polls and not self.was_polled_from_start():
            yield wait_until(lambda: self.is_paused() or self.was_polled_from_start())
            if not self.was_polled_from_start():
                self.environment.advance(POLL_STEP_MS)
        return self.environment.now_ms - started_ms

    @inlineCallbacks
    def wait_for_next_held_poll(self) -> Steps[None]:
        """Wait for the poll after the pause that follows a response without events."""
        yield wait_until(lambda: self.discovery.held_poll or self.is_paused())
        self.environment.advance(MAX_PAUSE_MS)
        yield wait_until(lambda: self.discovery.held_poll)

    def was_polled_from_start(self) -> bool:
        return 0 in self.resume_positions()

    def has_polled_after(self, cursor: int) -> bool:
        held_poll = self.discovery.held_poll
        return held_poll is not None and held_poll.resume == cursor

    @inlineCallbacks
    def restart_discovery(self, *events: dict[str, Any]) -> Steps[float]:
        """Restart discovery with these events, numbered from 1; returns the ms until it is polled from 0."""
        yield self.start_watch()
        self.discovery.events[:] = [{"cursor": number, **event} for number, event in enumerate(events, 1)]
        elapsed_ms = yield self.report_stale_cursor(len(events))
        yield wait_until(lambda: self.has_polled_after(len(events)))
        return elapsed_ms

    @inlineCallbacks
    def test_a_new_epoch_is_followed_and_does_not_restore_a_drained_server(self) -> Steps[None]:
        elapsed_ms = yield self.restart_discovery(
            complete_list("c1", "c3"), {"drop": {"family": 1, "when": 5}}
        )
        assert 1500.0 <= elapsed_ms <= 3000.0
        assert self.lists == ["c1:DRAINING c3:SERVING o:SERVING"]
        assert chosen_server(self.service) == "c3"
        # A change within the new epoch restores the drained server.
        self.discovery.publish(nodes={"hosts": [edge_entry("c3", health="leaving"), edge_entry("c1")]})
        yield wait_until(lambda: self.watch_client.cursor == 3)
        assert chosen_server(self.service) == "c1"

    @inlineCallbacks
    def test_a_long_response_may_start_a_new_epoch(self) -> Steps[None]:
        """Its last number is close to the known cursor; only its first event reveals the new epoch."""
        yield self.start_watch()
        self.watch_client.replay(Commands(EVENT_COUNT + 10, ()))
        first = {"cursor": 1, **complete_list("c1", "c3")}
        self.discovery.events[:] = [first, *purge_events(2, EVENT_COUNT)]
        yield self.report_stale_cursor(EVENT_COUNT)
        yield self.environment.wait_until_due(lambda: self.has_polled_after(EVENT_COUNT))
        assert self.lists == ["c1:DRAINING c3:SERVING o:SERVING"]
        assert self.watch_client.cursor == EVENT_COUNT

    @inlineCallbacks
    def test_a_restarted_process_of_a_drained_server_serves_in_a_new_epoch(self) -> Steps[None]:
        hosts = [edge_entry("c1", born_ms=1e12), ORIGIN_ENTRY]
        yield self.restart_discovery({"nodes": {"whole": True, "hosts": hosts}})
        assert self.lists == ["c1:SERVING o:SERVING"]

    @inlineCallbacks
    def test_stale_responses_alone_change_nothing(self) -> Steps[None]:
        """Discovery answers the poll from 0 with the known numbers; these events are not delivered again."""
        yield self.start_watch()
        yield self.report_stale_cursor(3)
        yield self.wait_for_next_held_poll()
        self.discovery.publish(nodes={"hosts": [edge_entry("c3")]})
        yield wait_until(lambda: self.watch_client.cursor == LAST_CURSOR + 1)
        assert self.lists == ["c3:SERVING"]
        assert chosen_server(self.service) != "c1"

    @inlineCallbacks
    def test_earlier_numbers_without_a_complete_list_start_no_new_epoch(self) -> Steps[None]:
        yield self.start_watch()
        self.discovery.events[:] = [{"cursor": 1, "nodes": {"hosts": [edge_entry("c1")]}}]
        yield self.report_stale_cursor(1)
        yield self.wait_for_next_held_poll()
        assert self.was_polled_from_start()
        assert (self.watch_client.cursor, self.lists) == (LAST_CURSOR, [])

    @inlineCallbacks
    def test_two_stale_responses_are_too_few_however_far_apart(self) -> Steps[None]:
        yield self.start_watch()
        self.discovery.polls.clear()
        stale_response = encode_answer({"cursor": 3, "cmds": []})
        for polls in (1, 2, 3):  # each poll is kept open for longer than it requested
            connection = self.discovery.held_poll.connection
            self.discovery.held_poll = None
            self.environment.advance(1900.0)
            connection.transport.write(stale_response)
            yield wait_until(lambda polls=polls: len(self.discovery.polls) >= polls)
            assert self.was_polled_from_start() == (polls == 3)

    @inlineCallbacks
    def test_polls_from_0_need_several_stale_responses_and_become_less_frequent(self) -> Steps[None]:
        yield self.start_watch()
        for _ in range(3):
            yield self.report_stale_cursor(3, max_polls=2)  # followed by a correct response
            self.stale_cursor = None
            yield self.wait_for_next_held_poll()
            self.discovery.publish(drop={"family": 1, "when": 5})
            yield wait_until(lambda: self.discovery.held_poll)
            assert not self.was_polled_from_start()
        for min_elapsed_ms in (1500.0, 3000.0, 6000.0):
            elapsed_ms = yield self.report_stale_cursor(3)
            assert min_elapsed_ms <= elapsed_ms <= min_elapsed_ms + 1200.0
            yield self.wait_for_next_held_poll()
