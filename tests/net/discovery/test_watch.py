"""The command channel on real connections, its deadlines by a patched clock; discovery is scripted."""

from __future__ import annotations

import json
import os
import socket
from typing import Any
from unittest.mock import Mock, patch

import pytest
from fakes.event_loop import reactor, wait_until
from fakes.fake_discovery import ScriptedDiscovery, hold_poll, respond
from fakes.invalid_answers import FIRST_EVENT_ANSWER, INVALID_ANSWERS, SURPLUS_ANSWERS
from fakes.watch_environment import WatchEnvironment, chosen_server
from fakes.watch_messages import ORIGIN_ENTRY, edge_entry, encode_answer, purge_events, summarize_event
from twisted.internet.defer import inlineCallbacks
from twisted.trial.unittest import TestCase

from tests.core.test_engine import CONFIG
from thornjunction.core.counters import Counters
from thornjunction.net.discovery import watch_client as channels
from thornjunction.net.wire.commands import ListChange, decode_commands
from thornjunction.runtime.config import parse_config
from thornjunction.runtime.service import Service

FIRST = {"cursor": 1, "drop": {"family": 3, "when": 5}}
SECOND = {"cursor": 2, "drop": {"family": 4, "when": 5}}


class WatchTest(TestCase):
    timeout = 60

    def setUp(self) -> None:
        self.rig = WatchEnvironment()
        self.discovery, self.channel = self.rig.discovery, self.rig.watch_client
        self.addCleanup(self.rig.stop)

    @inlineCallbacks
    def test_a_silent_watch_is_reopened_where_it_was(self) -> Any:
        """Two silences, the first after half an answer, stay under 6 s; a slow answer is heard in the end."""
        self.discovery.script = [
            respond(FIRST_EVENT_ANSWER),
            respond(FIRST_EVENT_ANSWER[:-9]),
            hold_poll,
            hold_poll,
            hold_poll,
        ]
        self.channel.start()
        yield self.rig.wait_for_polls(2)
        started = self.rig.now_ms
        for polls, patience_ms, most_ms in ((3, 2000.0, 2500.0), (4, 1601.0, 4500.0), (5, 3201.0, 8000.0)):
            self.rig.advance(patience_ms - 1.0)
            self.assertEqual(self.channel.link.code, "")
            self.rig.advance(1.0)
            yield self.rig.wait_for_disconnect(200.0)
            yield self.rig.wait_for_polls(polls)
            self.assertLess(self.rig.now_ms - started, most_ms)
        self.rig.advance(4900.0)
        self.discovery.connections[-1].transport.write(encode_answer({"cursor": 2, "cmds": [SECOND]}))
        yield self.rig.wait_for_polls(6)
        self.assertEqual(self.discovery.polls, [(0, 1), (1, 1200), *[(1, 1)] * 3, (2, 1200)])
        self.assertEqual(len(self.rig.received_events), 2)

    @inlineCallbacks
    def test_a_process_that_was_late_reads_before_it_judges(self) -> Any:
        for late_ms in (0.0, 3000.0):
            yield self.rig.restart_watch(hold_poll)
            yield self.rig.wait_for_polls(1)
            link = self.rig.watch_client.link
            self.rig.now_ms = link.due + late_ms
            self.rig.deadlines.run_due(self.rig.now_ms)  # before any socket is read
            self.discovery.connections[-1].transport.write(FIRST_EVENT_ANSWER)
            yield wait_until(lambda link=link: link.code or link.polls)
            self.assertEqual((link.code, len(self.rig.received_events)), ("", 1))

    @inlineCallbacks
    def test_what_is_no_answer_moves_nothing_and_what_follows_one_is_no_second(self) -> Any:
        self.discovery.events = [FIRST]
        for name, step in (INVALID_ANSWERS | SURPLUS_ANSWERS).items():
            yield self.rig.restart_watch(step)
            yield self.rig.wait_for_failures(1)
            yield self.rig.wait_for_polls(3)
            self.assertEqual(
                self.discovery.polls, [(0, 1), (int(name in SURPLUS_ANSWERS), 1), (1, 1200)], name
            )
            self.assertEqual(len(self.rig.received_events), 1, name)

    @inlineCallbacks
    def test_a_channel_that_holds_no_poll_is_asked_with_pauses(self) -> Any:
        """Neither does the cursor go past events that did not come."""
        self.discovery.script = [respond(encode_answer({"cursor": 9, "cmds": []}))] * 9
        self.channel.start()
        for polls, pause_ms in enumerate((50.0, 100.0, 200.0, 400.0, 400.0), 2):
            yield wait_until(lambda polls=polls: self.channel.link and self.channel.link.empty == polls - 1)
            self.rig.advance(pause_ms - 1.0)
            self.assertEqual(len(self.discovery.polls), polls)
            self.rig.advance(1.0)
        yield wait_until(lambda: self.channel.link.empty == 6)
        self.discovery.connections[0].transport.write(FIRST_EVENT_ANSWER)  # nobody has asked
        yield self.rig.wait_for_disconnect(0.0)
        self.assertEqual(
            ({resume for resume, _ in self.discovery.polls}, self.rig.received_events), ({0}, [])
        )

    @inlineCallbacks
    def test_a_new_address_while_a_poll_is_open(self) -> Any:
        other = ScriptedDiscovery()
        self.addCleanup(other.stop)
        self.discovery.script, other.events = (
            [respond(FIRST_EVENT_ANSWER), hold_poll],
            [{"cursor": 1}, SECOND],
        )
        self.channel.start()
        yield self.rig.wait_for_polls(2)
        self.channel.move(self.discovery.address)
        self.assertEqual(self.channel.link.code, "")  # the same one: nothing is disturbed
        self.channel.move(other.address)
        self.discovery.connections[0].transport.write(FIRST_EVENT_ANSWER)  # too late
        yield self.rig.wait_for_disconnect(50.0)
        yield wait_until(lambda: len(other.polls) == 2 and self.discovery.connections[0].disconnect_cause)
        self.assertEqual((other.polls, len(self.rig.received_events)), ([(1, 1200), (2, 1200)], 2))
        self.assertEqual(
            self.discovery.connections[0].disconnect_cause, "ConnectionDone"
        )  # in order, not reset

    @inlineCallbacks
    def test_new_addresses_in_a_row_leave_the_last_and_each_event_once(self) -> Any:
        """In one turn, in the next ones, and back to where it was."""
        others = [ScriptedDiscovery() for _ in range(3)]
        for other in others:
            self.addCleanup(other.stop)
            other.events = [{"cursor": 1}, SECOND]
        self.discovery.script = [respond(FIRST_EVENT_ANSWER), hold_poll]
        self.channel.start()
        yield self.rig.wait_for_polls(2)
        for other in (*others, *others[:2], others[2]):
            self.channel.move(other.address)
        yield self.rig.wait_for_disconnect(50.0)
        yield wait_until(lambda: len(others[2].polls) == 2)
        self.assertEqual([other.polls for other in others], [[], [], [(1, 1200), (2, 1200)]])
        self.assertEqual(len(self.rig.received_events), 2)

    @inlineCallbacks
    def test_a_new_address_while_a_long_answer_comes(self) -> Any:
        other = ScriptedDiscovery()
        self.addCleanup(other.stop)
        other.events = purge_events(1, 3000)
        self.discovery.script = [respond(encode_answer({"cursor": 3000, "cmds": other.events}))]
        self.channel.start()
        yield wait_until(lambda: self.channel.cursor)
        taken = self.channel.cursor
        self.channel.move(other.address)
        yield self.rig.wait_for_disconnect(50.0)
        yield self.rig.wait_until_due(lambda: len(other.polls) == 2)
        self.assertTrue(0 < taken < 3000)
        self.assertEqual(other.polls, [(taken, 1), (3000, 1200)])
        self.assertEqual([event.cursor for event in self.rig.received_events], list(range(1, 3001)))

    @inlineCallbacks
    def test_a_new_address_while_a_dial_hangs(self) -> Any:
        with socket.socket() as full, socket.socket() as filler:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            filler.connect(full.getsockname())  # the queue is full: no further one comes up
            channel = self.rig.build_watch_client(full.getsockname())
            channel.start()
            self.rig.advance(300.0)
            self.assertIsNotNone(channel._dialling)
            channel.move(self.discovery.address)
            self.rig.advance(50.0)
            yield self.rig.wait_for_polls(1)
            full.accept()[0].close()
            full.setblocking(False)
            self.assertRaises(BlockingIOError, full.accept)

    @inlineCallbacks
    def test_discovery_down_for_long_costs_few_dials_lines_and_descriptors(self) -> Any:
        yield self.discovery.port.stopListening()
        held, started = len(os.listdir("/proc/self/fd")), self.rig.now_ms
        with patch.object(channels, "log_disconnect") as lines:
            self.channel.start()
            yield self.rig.wait_for_failures(200)
        yield self.rig.close_watch()
        self.assertLessEqual(len(os.listdir("/proc/self/fd")), held)
        self.assertTrue(
            lines.call_count < 10 and self.rig.now_ms - started > 200 * 0.4 * channels.MOST_AGAIN_MS
        )

    @inlineCallbacks
    def test_a_drain_while_the_watch_was_silent_is_heeded_at_its_return(self) -> Any:
        service = service_of()
        self.addCleanup(service.alarm.stop)
        self.channel.take = service.handle_command
        self.discovery.publish(
            nodes={"whole": True, "hosts": [edge_entry("c1"), edge_entry("c2"), ORIGIN_ENTRY]}
        )
        self.channel.start()
        yield self.rig.wait_for_polls(2)
        drained = chosen_server(service)
        self.discovery.held_poll = None  # silent from here on
        self.discovery.publish(nodes={"hosts": [edge_entry(drained, health="leaving")]})
        self.rig.advance(2000.0)
        yield wait_until(lambda: self.channel.link is None)
        self.assertEqual(chosen_server(service), drained)  # what is known stands
        self.rig.advance(100.0)
        yield wait_until(lambda: self.channel.cursor == 2)
        self.assertNotEqual(chosen_server(service), drained)


def service_of() -> Service:
    config = parse_config(json.dumps(CONFIG).encode(), {})
    return Service(config, None, reactor, Counters(), lambda: config)


def commands(*events: Any) -> bytes:
    return json.dumps({"cursor": 4, "cmds": events}).encode()


def test_a_shelf_that_is_listed_again_is_no_new_process() -> None:
    """Also where the system's clock was set meanwhile, and its start, as one to come, counts as the moment of
    its first listing; a later start is one."""
    service, seen = service_of(), []
    for unix_s, born_ms in ((1e9, 4e12), (1e9 + 7.1, 4e12), (1e9 - 60.0, 4e12), (1e9, 4.1e12)):
        with patch("thornjunction.net.event_loop.timer_service.time.time", lambda unix_s=unix_s: unix_s):
            told = commands({"cursor": 1, "nodes": {"hosts": [edge_entry("c1", born_ms=born_ms)]}})
            service.handle_command(decode_commands(told).events[0])
        seen.append(service.router.placement.server_list.servers["c1"])
    assert seen[0] is seen[1] is seen[2] is not seen[3]
    service.handle_command(ListChange(2, True, ()))
    assert not service.commands.process_starts._by_server
    service.alarm.stop()


EVENTS = [
    (
        {"nodes": {"hosts": [edge_entry("a"), edge_entry("b", health="odd")]}},
        "a:SERVING b:DRAINING",
        "host-health",
    ),
    ({"nodes": {"hosts": [edge_entry("a", dial="x"), 3]}}, "a:DRAINING", "host-dial host-name"),
    ({"nodes": {"hosts": [edge_entry("a", share=float("nan"))]}}, "a:SERVING", "host-share"),
    ({"nodes": {"hosts": [edge_entry("a", born_ms=1e300, health="left")]}}, "a:REMOVED", "host-born_ms"),
    ({"nodes": {"hosts": [None, 7], "whole": True}}, "", "host-name host-name event-form"),
    ({"news": {"of": "a later version"}}, "", ""),
    ({"drop": {"family": 3, "when": float("nan")}}, "None/3/inf", "drop-when"),
    ({"cursor": None, "drop": {"id": "ff", "when": 5}}, "255/0/5.0", "event-cursor"),
    (17, "", "event-cursor event-form"),
]


@pytest.mark.parametrize(("event", "means", "faults"), EVENTS)
def test_a_bad_event_holds_up_none_and_hides_no_drain(event: Any, means: str, faults: str) -> None:
    event = {"cursor": 3} | event if isinstance(event, dict) else event
    told = decode_commands(commands({**SECOND, "cursor": 4}, event, SECOND))
    said = sorted(summarize_event(taken) for taken in told.events)
    assert said == sorted(["None/4/5.0"] * 2 + [means] * bool(means))
    assert told.faults == tuple(faults.split()) and told.events[0].cursor == 2


def test_an_event_that_the_program_stumbles_over_holds_up_none() -> None:
    take = Mock(side_effect=OverflowError)
    channel = channels.WatchClient(None, ("127.0.0.1", 1), Mock(), float, take, Mock())
    for _ in range(2):
        channel.answered(decode_commands(commands(FIRST, SECOND)))
    assert take.call_count == 2 and channel.cursor == 2
