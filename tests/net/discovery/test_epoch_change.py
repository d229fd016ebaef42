"""Discovery whose numbers go back, on real connections; deadlines by a clock that is turned by hand."""

from __future__ import annotations

from typing import Any

from fakes.event_loop import wait_until
from fakes.fake_discovery import FakeDiscoveryConnection
from fakes.watch_environment import WatchEnvironment, chosen_server
from fakes.watch_messages import ORIGIN_ENTRY, edge_entry, encode_answer, purge_events, summarize_event
from twisted.internet.defer import inlineCallbacks
from twisted.trial.unittest import TestCase

from tests.net.discovery.test_watch import service_of
from thornjunction.net.wire.commands import Commands, ListChange

SOME = 3000  # events whose answer is long


class NewNumbersTest(TestCase):
    """Before the real decisions."""

    timeout = 20

    def setUp(self) -> None:
        self.rig, self.service = WatchEnvironment(), service_of()
        self.discovery, self.channel = self.rig.discovery, self.rig.watch_client
        self.addCleanup(self.rig.stop)
        self.addCleanup(self.service.alarm.stop)
        self.feed, self.listed = self.service.handle_command, list[str]()
        self.channel.take = self.take
        self.behind_at: int | None = None  # what discovery tells to a poll that doesn't ask from 0
        self.answer, self.discovery.handle_poll = self.discovery.handle_poll, self.polled  # type: ignore[method-assign]
        self.discovery.publish(
            nodes={"whole": True, "hosts": [edge_entry("c1"), edge_entry("c2"), ORIGIN_ENTRY]}
        )
        for number in range(8):
            self.discovery.publish(drop={"family": number, "when": 5})
        self.discovery.publish(nodes={"hosts": [edge_entry("c1", health="leaving")]})

    def take(self, event: Any) -> None:
        if isinstance(event, ListChange):
            self.listed.append(summarize_event(event))
        self.feed(event)

    def polled(self, link: FakeDiscoveryConnection, resume: int, block: int) -> None:
        if not resume:
            self.behind_at = None
        if self.behind_at is None:
            return self.answer(link, resume, block)
        self.discovery.polls.append((resume, block))
        link.transport.write(encode_answer({"cursor": self.behind_at, "cmds": []}))

    @inlineCallbacks
    def begin(self) -> Any:
        self.channel.start()
        yield wait_until(lambda: self.discovery.held_poll and self.channel.cursor == 10)
        self.assertEqual(chosen_server(self.service), "c2")
        del self.listed[:]

    @inlineCallbacks
    def behind(self, cursor: int, most: int = 99) -> Any:
        """Discovery says that it is at an earlier number, so often or until it is asked from 0; how long."""
        started, polls, self.behind_at = self.rig.now_ms, self.discovery.polls, cursor
        link, _ = self.discovery.held_poll
        self.discovery.held_poll = None
        link.transport.write(encode_answer({"cursor": cursor, "cmds": []}))
        del polls[:]
        while len(polls) < most and not self.asked_anew():
            yield wait_until(lambda: not self.channel.link.asked or self.asked_anew())
            self.rig.advance(50.0 * (not self.asked_anew()))
        return self.rig.now_ms - started

    @inlineCallbacks
    def polled_again(self) -> Any:
        """Past the pause behind an answer that told nothing."""
        yield wait_until(lambda: self.discovery.held_poll or not self.channel.link.asked)
        self.rig.advance(400.0)
        yield wait_until(lambda: self.discovery.held_poll)

    def asked_anew(self) -> bool:
        return any(not resume for resume, _ in self.discovery.polls)

    @inlineCallbacks
    def new_start(self, *events: dict[str, Any]) -> Any:
        """Discovery begins anew with these events, under numbers of its own."""
        yield self.begin()
        self.discovery.events[:] = [{"cursor": number, **event} for number, event in enumerate(events, 1)]
        spent_ms = yield self.behind(len(events))
        yield wait_until(lambda: self.discovery.held_poll and self.discovery.held_poll[1] == len(events))
        return spent_ms

    @inlineCallbacks
    def test_a_new_start_is_taken_and_brings_nothing_back_that_left(self) -> Any:
        hosts = [edge_entry("c1"), edge_entry("c3"), ORIGIN_ENTRY]
        whole = {"nodes": {"whole": True, "hosts": hosts}}
        spent_ms = yield self.new_start(whole, {"drop": {"family": 1, "when": 5}})
        self.assertTrue(1500.0 <= spent_ms <= 3000.0)
        self.assertEqual(self.listed, ["c1:DRAINING c3:SERVING o:SERVING"])
        self.assertEqual(chosen_server(self.service), "c3")
        self.discovery.publish(
            nodes={"hosts": [edge_entry("c3", health="leaving"), edge_entry("c1")]}
        )  # news of its own
        yield wait_until(lambda: self.channel.cursor == 3)
        self.assertEqual(chosen_server(self.service), "c1")

    @inlineCallbacks
    def test_a_new_start_may_be_a_long_answer(self) -> Any:
        """More of them than numbers before: only its first bytes can tell that."""
        yield self.begin()
        self.channel.replay(Commands(SOME + 10, ()))
        whole = {
            "cursor": 1,
            "nodes": {"whole": True, "hosts": [edge_entry("c1"), edge_entry("c3"), ORIGIN_ENTRY]},
        }
        self.discovery.events[:] = [whole, *purge_events(2, SOME)]
        yield self.behind(SOME)
        yield self.rig.wait_until_due(
            lambda: self.discovery.held_poll and self.discovery.held_poll[1] == SOME
        )
        self.assertEqual(self.listed, ["c1:DRAINING c3:SERVING o:SERVING"])
        self.assertEqual(self.channel.cursor, SOME)

    @inlineCallbacks
    def test_a_later_process_of_a_name_that_left_is_no_return(self) -> Any:
        hosts = [edge_entry("c1", born_ms=1e12), ORIGIN_ENTRY]
        yield self.new_start({"nodes": {"whole": True, "hosts": hosts}})
        self.assertEqual(self.listed, ["c1:SERVING o:SERVING"])

    @inlineCallbacks
    def test_a_false_word_changes_nothing(self) -> Any:
        """Asked from 0, discovery tells numbers that stand: what came before is not taken again."""
        yield self.begin()
        yield self.behind(3)
        yield self.polled_again()
        self.discovery.publish(nodes={"hosts": [edge_entry("c3")]})
        yield wait_until(lambda: self.channel.cursor == 11)
        self.assertEqual(self.listed, ["c3:SERVING"])
        self.assertNotEqual(chosen_server(self.service), "c1")

    @inlineCallbacks
    def test_earlier_numbers_without_a_whole_list_are_no_new_start(self) -> Any:
        yield self.begin()
        self.discovery.events[:] = [{"cursor": 1, "nodes": {"hosts": [edge_entry("c1")]}}]
        yield self.behind(1)
        yield self.polled_again()
        self.assertEqual((self.asked_anew(), self.channel.cursor, self.listed), (True, 10, []))

    @inlineCallbacks
    def test_two_false_words_are_too_few_however_far_apart(self) -> Any:
        yield self.begin()
        del self.discovery.polls[:]
        told = encode_answer({"cursor": 3, "cmds": []})
        for polls in (1, 2, 3):  # polls that are held for longer than they asked
            link, _ = self.discovery.held_poll
            self.discovery.held_poll = None
            self.rig.advance(1900.0)
            link.transport.write(told)
            yield wait_until(lambda polls=polls: len(self.discovery.polls) >= polls)
            self.assertEqual(self.asked_anew(), polls == 3)

    @inlineCallbacks
    def test_few_false_words_ask_nothing_anew_and_many_ask_ever_more_rarely(self) -> Any:
        yield self.begin()
        for _ in range(3):
            yield self.behind(3, most=2)  # an answer that is in order comes between
            self.behind_at = None
            yield self.polled_again()
            self.discovery.publish(drop={"family": 1, "when": 5})
            yield wait_until(lambda: self.discovery.held_poll)
            self.assertFalse(self.asked_anew())
        for least_ms in (1500.0, 3000.0, 6000.0):
            spent_ms = yield self.behind(3)
            self.assertTrue(least_ms <= spent_ms <= least_ms + 1200.0)
            yield self.polled_again()
