"""Connections to shelfs at their worst instants: dials that hang, bytes that are held back, odd answers."""

from __future__ import annotations

from dataclasses import replace
from typing import Any
from unittest.mock import patch

from twisted.internet import reactor, tcp
from twisted.internet.defer import inlineCallbacks
from twisted.internet.error import ConnectionDone
from twisted.trial.unittest import TestCase

from tests.standins import SETTINGS_HERE, Rig
from tests.test_wire import PARAMS, asked
from thornjunction import interface as api
from thornjunction.core.ports import Call, Order
from thornjunction.demo.clients import FastCgiClient
from thornjunction.demo.deaf_door import DeafDoor
from thornjunction.demo.rig import ShelfStandIn
from thornjunction.net import shelf_link, shelves
from thornjunction.net.alarm import core_ms
from thornjunction.net.wire import fastcgi
from thornjunction.net.wire.resp import encode_array

SKIPPED, REFUSED, RESET = api.Status.SKIPPED, api.Status.REFUSED, api.Status.RESET
ANSWER = b"DONE", b"x"


def connecting() -> Any:
    return [one for one in reactor.getWriters() if isinstance(one, tcp.Client)]


class ShelfTest(TestCase):
    timeout = 30

    def setUp(self) -> None:
        self.rig, self.told = Rig(), []  # type: ignore[var-annotated]
        self.addCleanup(self.rig.stop)
        self.pool, self.engine = self.rig.pool, self.rig.engine
        self.pool.ends = self

    def ended(self, number: int, status: api.Status, content: Any = None, report: Any = None) -> None:
        self.told.append((number, status))

    def send(self, number: int, name: str = "", start_ms: float = 9e9, body: bytes = b"") -> None:
        call = Call(name or f"t{number}", "films", "00000000000000ff", 900.0, body=body)
        self.pool.send(Order(number, call, api.Fetch("r", "edge1", 900.0, "origin", start_ms=start_ms)))

    @inlineCallbacks
    def out(self, number: int, **more: Any) -> Any:
        """One that the shelf has and does not answer; the stand-in that has it."""
        before, self.rig.script = len(self.rig.asked), [None]
        self.send(number, **more)
        yield self.rig.until(lambda: len(self.rig.asked) > before)
        return self.rig.asked[-1][0]

    def later(self, ms: float) -> None:
        with patch.object(self.pool, "clock", lambda: core_ms() + ms):
            self.rig.alarm.deadlines.run_due(core_ms() + ms)

    def deaf(self) -> DeafDoor:
        door = DeafDoor(lambda: ShelfStandIn(self.rig))
        self.addCleanup(door.close)
        self.rig.list_servers(door.address)
        return door

    def names(self) -> list[bytes]:
        return [want[1] for want in self.rig.wants()]

    @inlineCallbacks
    def test_what_waits_for_a_dial_never_begins_once_its_time_is_over(self) -> Any:
        ends = {  # how the wait ends; whether the dial goes on
            "bound": (lambda door: self.later(8000.0), True),
            "withdrawn": (lambda door: self.assertTrue(self.pool.withdraw(1)), True),
            "drained": (lambda door: self.rig.list_servers(door.address, api.State.DRAINING), False),
            "gone": (lambda door: self.rig.list_servers(door.address, api.State.GONE), False),
            "moved": (lambda door: self.rig.list_servers(), False),
            "never up": (lambda door: self.later(9000.0), False),
        }
        # Longer than the second after which the system knocks again.
        self.pool.limits = replace(self.pool.limits, dial_ms=9000.0)
        for how, (end, goes_on) in ends.items():
            door, self.told = self.deaf(), []
            self.send(1, start_ms=8000.0 if how == "bound" else 9e9)
            yield self.rig.until(connecting)
            dialling = connecting()
            end(door)
            status = [] if how == "withdrawn" else [(1, REFUSED if how == "never up" else SKIPPED)]
            self.assertEqual(self.told, status, how)
            self.assertEqual([one.fileno() >= 0 for one in dialling], [goes_on], how)
            if how == "drained":
                self.send(2)
                self.assertEqual(self.told, [(1, SKIPPED), (2, SKIPPED)])
            door.open()
            if goes_on:
                yield self.rig.until(lambda: len(self.pool.links))
                (link,) = self.pool.links
                self.rig.script, before = [ANSWER], len(self.told)
                self.send(3, "fence")
                yield self.rig.until(lambda before=before: len(self.told) > before)
                link.close("test")
                yield self.rig.until(lambda: not len(self.pool.links))
        self.assertEqual(self.names(), [b"fence", b"fence"])

    @inlineCallbacks
    def test_no_attempt_begins_once_its_request_has_ended(self) -> Any:
        """Where attempts may not be cancelled, those that wait for a dial were sent seconds later."""
        self.pool.ends, self.pool.limits = self.engine, replace(self.pool.limits, dial_ms=9000.0)
        self.engine.feed(replace(SETTINGS_HERE, may_cancel=False))
        for how in ("abort", "closed", "hurried", "overdue"):
            door = self.deaf()
            self.rig.ports[1], origin = _At(door.address), self.rig.ports[1]
            self.rig.list_servers()  # keyed requests go straight to the origin
            self.rig.ports[1] = origin
            client = yield self.rig.client(3, FastCgiClient)
            keyed = PARAMS | {"SCRIPT_NAME": "/do/keyed", "HTTP_X_TXN_KEY": "0" * 32}
            client.transport.write(asked(params=keyed))
            yield self.rig.until(lambda: self.pool.shelves["origin"].waiting)
            self.assertTrue(self.engine.router.effects.ran)
            if how == "abort":
                client.transport.write(fastcgi.encode_record(fastcgi.ABORT, 7, b""))
            elif how == "closed":
                client.transport.loseConnection()
            elif how == "hurried":
                self.engine.hurry()
            else:
                self.engine._overdue(self.engine.requests.numbers()[0])
            yield self.rig.until(lambda: not self.pool.shelves["origin"].waiting)
            self.assertFalse(self.engine.router.effects.ran or len(self.engine.attempts), how)
            door.open()
            yield self.rig.until(lambda: len(self.pool.links))
            (link,) = self.pool.links
            self.pool.probe("origin")  # what comes first on that connection shows that nothing else did
            yield self.rig.until(lambda: self.rig.heard)
            self.assertEqual(self.rig.heard.pop()[0], "busy", how)
            link.close("test")
            yield self.rig.until(lambda: not len(self.pool.links))

    @inlineCallbacks
    def test_one_late_dial_does_not_speak_for_a_shelf_that_answers(self) -> Any:
        door = self.deaf()
        door.open()
        self.pool.limits = replace(self.pool.limits, max_streams=1, dial_ms=9000.0)
        for number, heard in ((10, True), (20, False)):
            shelf = yield self.out(number)
            door.shut()
            self.send(number + 1)  # waits for a dial
            shelf.say(b"t%d" % number, *ANSWER)
            yield self.rig.until(lambda number=number: f"t{number + 1}".encode() in self.names())
            self.assertEqual(self.told.pop(0), (number, api.Status.DONE))
            yield self.rig.until(lambda: self.told)
            self.later(9000.0)  # the dial, which nobody waits for
            shelf = yield self.out(number + 2)
            self.send(number + 3)
            if heard:
                shelf.say(b"nobody", *ANSWER)
                (way,) = self.pool.links
                yield self.rig.until(lambda way=way: way.strays)
            self.told.clear()
            self.later(9000.0)
            self.assertEqual(self.told, [(number + 3, SKIPPED if heard else REFUSED)])
            shelf.say(b"t%d" % (number + 2), *ANSWER)
            yield self.rig.until(lambda: len(self.told) == 2)
            self.told.clear()
            door.open()

    def test_a_dead_shelf_is_told_of_though_all_had_given_up(self) -> None:
        self.deaf()
        self.send(1)
        self.pool.withdraw(1)
        self.later(400.0)
        self.send(2)
        self.send(3)
        self.assertEqual(self.told, [(2, REFUSED)])

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
            self.pool.give_up(number)
            self.later(shelf_link.HELD_MS)
            yield self.rig.until(lambda: self.told)
        self.assertEqual(self.told, [(open_, RESET) for open_ in range(number)])
        shelf.transport.resumeProducing()
        yield self.rig.until(lambda: shelf.ended)
        self.assertNotIn(f"t{number}".encode(), self.names())

    @inlineCallbacks
    def test_what_breaks_a_connection_leaves_what_was_out_as_perhaps_run(self) -> Any:
        one, fields = encode_array((b"t", b"DONE", b"-", b"x")), b"a=" + b"x" * 4095
        ways = {
            "half a line": lambda at: (at.write(one[:7]), at.loseConnection()),
            "a reset": lambda at: at.abortConnection(),
            "an endless answer": lambda at: at.write(one[:-7] + b"$240001\r\nxx"),
            "fields too long": lambda at: at.write(encode_array((b"t", b"DONE", fields, b"x"))),
            "a line break in a field": lambda at: at.write(
                encode_array((b"t", b"DONE", b"rev=a\r\nb", b"x"))
            ),
            "three items": lambda at: at.write(encode_array((b"t", b"DONE", b"-"))),
            "an ident of odd bytes": lambda at: at.write(encode_array((b"\xff", b"DONE", b"-", b"x"))),
            "answers to nothing, without end": lambda at: at.write(encode_array((b"n", *ANSWER, b"")) * 99),
            "a close as a request is written": None,
        }
        for number, (how, act) in enumerate(ways.items()):
            shelf = yield self.out(2 * number)
            if act is not None:
                act(shelf.transport)
            else:
                shelf.transport.socket.shutdown(2)
                self.send(999)
            yield self.rig.until(lambda: not len(self.pool.links))
            self.assertEqual(set(self.told), {(2 * number, RESET), *([] if act else [(999, RESET)])}, how)
            self.told, self.rig.script = [], [ANSWER]
            self.send(2 * number + 1)
            yield self.rig.until(lambda: self.told)
            self.assertEqual(self.told.pop(), (2 * number + 1, api.Status.DONE), how)

    @inlineCallbacks
    def test_a_second_answer_is_not_taken_for_that_to_the_next_attempt(self) -> Any:
        shelf = yield self.out(1, name="same")
        shelf.say(b"same", b"WAIT")
        yield self.rig.until(lambda: self.told)
        second = yield self.out(2, name="same")
        shelf.say(b"same", b"WAIT")
        second.say(b"same", b"DONE", b"x")
        yield self.rig.until(lambda: len(self.told) > 1)
        self.assertEqual(self.told, [(1, api.Status.BUSY), (2, api.Status.DONE)])

    @inlineCallbacks
    def test_what_crosses_an_idle_close_resets_nothing(self) -> Any:
        for reads in (True, False):
            self.rig.script, self.told = [ANSWER], []
            self.send(1)
            yield self.rig.until(lambda: self.told)
            shelf, (link,) = self.rig.links[-1], self.pool.links
            self.later(shelf_link.IDLE_SHARE * 15_000.0)
            shelf.transport.write(encode_array((b"t1", *ANSWER, b""))[:9])  # half a late answer
            self.assertFalse(link.has_room("new"))
            if not reads:
                shelf.transport.pauseProducing()
                self.later(shelf_link.IDLE_SHARE * 15_000.0 + shelf_link.LINGER_MS)
            yield self.rig.until(lambda: not len(self.pool.links))
            if reads:
                yield self.rig.until(lambda shelf=shelf: shelf.ended)
                self.assertIsInstance(shelf.ended, ConnectionDone)


class _At:
    """A port as the rig asks one for its address."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.port = address[1]

    def getHost(self) -> Any:  # noqa: N802
        return self
