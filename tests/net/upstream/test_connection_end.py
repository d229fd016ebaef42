"""Connections to shelfs at their worst instants: dials that hang, bytes that are held back, odd answers."""

from __future__ import annotations

from dataclasses import replace
from typing import Any
from unittest.mock import patch

from fakes.clients import FastCgiClient
from twisted.internet import reactor, tcp
from twisted.internet.defer import inlineCallbacks
from twisted.internet.error import ConnectionDone
from twisted.trial.unittest import TestCase

from tests.loopback import LOOPBACK_SETTINGS, make_loopback_environment
from tests.net.wire.test_codecs import PARAMS, asked
from thornjunction import interface as api
from thornjunction.core.ports import ClientRequest, UpstreamRequest
from thornjunction.net.event_loop.timer_service import core_ms
from thornjunction.net.upstream import connection as shelf_link
from thornjunction.net.upstream import connection_pool as shelves
from thornjunction.net.wire import fastcgi
from thornjunction.net.wire.resp import encode_array

LEFT_MS = 30_000.0  # of each attempt's time: past all waits here, so that another bound has to end them
SKIPPED, REFUSED, RESET = (
    api.AttemptStatus.NOT_STARTED,
    api.AttemptStatus.CONNECTION_REFUSED,
    api.AttemptStatus.CONNECTION_RESET,
)


def connecting() -> Any:
    return [one for one in reactor.getWriters() if isinstance(one, tcp.Client)]


class ShelfTest(TestCase):
    timeout = 30

    def setUp(self) -> None:
        self.rig, self.told = make_loopback_environment(), []  # type: ignore[var-annotated]
        self.addCleanup(self.rig.stop)
        self.pool, self.engine = self.rig.pool, self.rig.engine
        self.pool.ends = self

    def attempt_ended(
        self, number: int, status: api.AttemptStatus, content: Any = None, report: Any = None
    ) -> None:
        self.told.append((number, status))

    def send(self, number: int, name: str = "", start_ms: float = 9e9, body: bytes = b"") -> None:
        call = ClientRequest(name or f"t{number}", "films", "00000000000000ff", LEFT_MS, body=body)
        self.pool.send(
            UpstreamRequest(
                number, call, api.StartAttempt("r", "edge1", LEFT_MS, "origin", start_within_ms=start_ms)
            )
        )

    @inlineCallbacks
    def out(self, number: int, **more: Any) -> Any:
        """One that the shelf has and does not answer; the stand-in that has it."""
        self.rig.script, wanted = [None], self.rig.next_request()
        self.send(number, **more)
        yield wanted
        return self.rig.received_requests[-1][0]

    @inlineCallbacks
    def test_what_waits_for_a_dial_never_begins_once_its_time_is_over(self) -> Any:
        ends = {  # how the wait ends; whether the dial goes on, and a connection comes up after it
            "bound": (lambda _: self.rig.run_pool_deadlines(8000.0), True, SKIPPED),
            "bound, seen late": (
                lambda _: setattr(self.pool, "clock", lambda: core_ms() + 8000.0),
                True,
                None,
            ),
            "withdrawn": (lambda _: self.assertTrue(self.pool.withdraw(1)), True, None),
            "drained": (lambda at: self.rig.list_servers(api.ServerState.DRAINING, edge1=at), False, SKIPPED),
            "gone": (lambda _: self.rig.list_servers(api.ServerState.REMOVED), False, SKIPPED),
            "moved": (lambda _: self.rig.list_servers(), False, SKIPPED),
            "never up": (lambda _: self.rig.run_pool_deadlines(9000.0), False, REFUSED),
        }
        self.pool.limits = replace(self.pool.limits, dial_ms=9000.0)  # the system knocks again after 1 s
        for how, (end, goes_on, status) in ends.items():
            door, self.told = self.rig.make_unresponsive("edge1"), []
            self.send(1, start_ms=8000.0 if how.startswith("bound") else 9e9)
            yield self.rig.wait_until(connecting)
            dialling = connecting()
            end(door.address)
            self.assertEqual(self.told, [(1, status)] if status else [], how)
            self.assertEqual([one.fileno() >= 0 for one in dialling], [goes_on], how)
            if how == "drained":
                self.send(2)
                self.assertEqual(self.told.pop(), (2, SKIPPED))
            door.start_accepting()
            if goes_on:
                yield self.rig.wait_until(lambda: len(self.pool.links))
                self.send(3, "fence")
                yield self.rig.wait_until(lambda: (3, api.AttemptStatus.SUCCEEDED) in self.told)
                yield self.rig.close_upstream_connections()
                self.pool.clock = core_ms
        self.assertEqual([command.request_id for command in self.rig.forwarded_requests()], [b"fence"] * 3)

    @inlineCallbacks
    def test_no_attempt_begins_once_its_request_has_ended(self) -> Any:
        self.pool.ends, self.pool.limits = self.engine, replace(self.pool.limits, dial_ms=9000.0)
        self.engine.feed(replace(LOOPBACK_SETTINGS, may_cancel=False))
        ends = {
            "abort": lambda at: at.write(fastcgi.encode_record(fastcgi.RecordType.ABORT, 7, b"")),
            "closed": lambda at: at.loseConnection(),
            "hurried": lambda _: self.engine.answer_all_now(),
            "overdue": lambda _: self.engine._backstop_due(next(iter(self.engine.requests))),
        }
        ran = self.engine.router.executions.by_key
        for how, end in ends.items():
            door = self.rig.make_unresponsive("origin")  # where keyed requests go straight
            client = yield self.rig.connect_client(3, FastCgiClient)
            keyed = PARAMS | {"SCRIPT_NAME": "/do/keyed", "HTTP_X_TXN_KEY": "0" * 32}
            client.transport.write(asked(params=keyed))
            origin = self.pool.shelves["origin"]
            yield self.rig.wait_until(lambda origin=origin: origin.waiting and ran)
            end(client.transport)
            yield self.rig.wait_until(lambda origin=origin: not origin.waiting)
            self.assertFalse(ran or len(self.engine.attempts), how)
            door.start_accepting()
            yield self.rig.wait_until(lambda: len(self.pool.links))
            self.pool.probe("origin")  # what comes first on that connection shows that nothing else did
            yield self.rig.wait_until(lambda: self.rig.received_commands)
            self.assertEqual(self.rig.received_commands.pop().verb, "busy", how)
            yield self.rig.close_upstream_connections()

    @inlineCallbacks
    def test_one_late_dial_does_not_speak_for_a_shelf_that_answers(self) -> Any:
        door = self.rig.make_unresponsive("edge1")
        door.start_accepting()
        self.pool.limits = replace(self.pool.limits, max_streams=1, dial_ms=9000.0)
        for number, heard in ((10, True), (20, False)):
            shelf = yield self.out(number)
            door.stop_accepting()
            self.send(number + 1)  # waits for a dial
            shelf.send_answer(b"t%d" % number, b"DONE", b"x")
            yield self.rig.wait_until(lambda: len(self.told) == 2)
            self.assertEqual(
                self.told, [(number, api.AttemptStatus.SUCCEEDED), (number + 1, api.AttemptStatus.SUCCEEDED)]
            )
            self.rig.run_pool_deadlines(9000.0)  # the dial, which nobody waits for
            shelf = yield self.out(number + 2)
            self.send(number + 3)
            if heard:
                shelf.send_answer(b"nobody", b"DONE", b"x")
                yield self.rig.wait_until(lambda: any(link.strays for link in self.pool.links))
            self.told.clear()
            self.rig.run_pool_deadlines(9000.0)
            self.assertEqual(self.told, [(number + 3, SKIPPED if heard else REFUSED)])
            yield self.rig.close_upstream_connections()
            self.told = []
            door.start_accepting()

    def test_a_dead_shelf_is_told_of_though_all_had_given_up(self) -> None:
        self.rig.make_unresponsive("edge1")
        self.send(1)
        self.pool.withdraw(1)
        self.rig.run_pool_deadlines(400.0)
        self.send(2)
        self.assertEqual((self.told, self.pool.shelves["edge1"].waiting), ([(2, REFUSED)], {}))

    @inlineCallbacks
    def test_bytes_that_a_shelf_does_not_read_are_not_sent_once_given_up(self) -> Any:
        shelf = yield self.out(0)
        shelf.transport.pauseProducing()
        (link,), number, self.rig.script = self.pool.links, 0, [None] * 999
        self.pool.limits = replace(self.pool.limits, max_streams=999)
        with patch.object(shelves, "PREFERRED", 1):
            while not link.unsent:
                number += 1
                self.send(number, body=b"x" * 100_000)
            self.assertFalse(link.has_room("new"))
            self.pool.cancel(number)
            self.rig.run_pool_deadlines(shelf_link.HELD_MS)
            yield self.rig.wait_until(lambda: self.told)
        self.assertEqual(self.told, [(open_, RESET) for open_ in range(number)])
        shelf.transport.resumeProducing()
        yield self.rig.wait_until(lambda: shelf.disconnect_error)
        self.assertNotIn(
            f"t{number}".encode(), [command.request_id for command in self.rig.forwarded_requests()]
        )

    @inlineCallbacks
    def test_what_breaks_a_connection_leaves_what_was_out_as_perhaps_run(self) -> Any:
        one, long = encode_array((b"n", b"DONE", b"-", b"x")), b"a=" + b"x" * 4095
        ways = {  # what the shelf does, after what bytes
            "half a line": ("loseConnection", one[:7]),
            "a reset": ("abortConnection", b""),
            "a close as a request is written": ("shutdown", b""),
            "an endless answer": ("", one[:-7] + b"$240001\r\nxx"),
            "answers to nothing, without end": ("", one * 99),
            "fields too long": ("", encode_array((b"t", b"DONE", long, b"x"))),
            "a line break in a field": ("", encode_array((b"t", b"DONE", b"rev=a\r\nb", b"x"))),
            "three items": ("", encode_array((b"t", b"DONE", b"-"))),
            "an ident of odd bytes": ("", encode_array((b"\xff", b"DONE", b"-", b"x"))),
        }
        for number, (how, (act, data)) in enumerate(ways.items()):
            shelf = yield self.out(number)
            shelf.transport.write(data)
            if act == "shutdown":
                shelf.transport.socket.shutdown(2)
                self.send(999)
            elif act:
                getattr(shelf.transport, act)()
            yield self.rig.wait_until(lambda: not len(self.pool.links))
            self.assertEqual(self.told, [(number, RESET), (999, RESET)][: 1 + (act == "shutdown")], how)
            self.told = []
            self.send(number)
            yield self.rig.wait_until(lambda: self.told)
            self.assertEqual(self.told.pop(), (number, api.AttemptStatus.SUCCEEDED), how)

    @inlineCallbacks
    def test_a_second_answer_is_not_taken_for_that_to_the_next_attempt(self) -> Any:
        shelf = yield self.out(1, name="same")
        shelf.send_answer(b"same", b"WAIT")
        yield self.rig.wait_until(lambda: self.told)
        second = yield self.out(2, name="same")
        shelf.send_answer(b"same", b"WAIT")
        second.send_answer(b"same", b"DONE", b"x")
        yield self.rig.wait_until(lambda: len(self.told) > 1)
        self.assertEqual(self.told, [(1, api.AttemptStatus.OVERLOADED), (2, api.AttemptStatus.SUCCEEDED)])

    @inlineCallbacks
    def test_what_crosses_an_idle_close_resets_nothing(self) -> Any:
        for reads in (True, False):
            self.told = []
            self.send(1)
            yield self.rig.wait_until(lambda: self.told)
            shelf, (link,) = self.rig.server_connections[-1], self.pool.links
            self.rig.run_pool_deadlines(shelf_link.IDLE_SHARE * 15_000.0)
            shelf.transport.write(encode_array((b"t1", b"DONE", b"x", b""))[:9])  # half a late answer
            self.assertFalse(link.has_room("new"))
            if not reads:
                shelf.transport.pauseProducing()
                self.rig.run_pool_deadlines(shelf_link.IDLE_SHARE * 15_000.0 + shelf_link.LINGER_MS)
            yield self.rig.wait_until(lambda: not len(self.pool.links))
            if reads:
                yield self.rig.wait_until(lambda shelf=shelf: shelf.disconnect_error)
                self.assertIsInstance(shelf.disconnect_error, ConnectionDone)
