"""Ends of clients' connections on loopback, in the order in which they go wrong: what is owed is answered,
what nobody waits for is not sent on, and nothing is reset."""

from __future__ import annotations

from typing import Any
from unittest.mock import patch

from standins.bare import ENDS, BareClient, BareClients, aborted, asked
from twisted.trial.unittest import TestCase

from tests.standins import CLIP, Rig
from thornjunction.net.alarm import core_ms
from thornjunction.net.client_link import IDLE_MS, SILENT_MS, ClientTable
from thornjunction.runtime.drain import Drain
from thornjunction.runtime.shutdown import Shutdown

BIG = (b"DONE", b"w" * 240_000)


class ClientEndingsTest(TestCase):
    timeout = 10

    def setUp(self) -> None:
        self.rig = Rig()
        self.addCleanup(self.rig.stop)
        self.engine, self.clients, self.until = self.rig.engine, BareClients(self.rig), self.rig.until
        self.addCleanup(self.clients.close)

    async def test_a_request_in_the_moment_of_an_idle_close_is_not_sent_on_and_nothing_is_reset(self) -> None:
        for front, request in ((3, asked(7)), (2, self.clients.http(CLIP))):
            cases = [("idle", IDLE_MS, request, b""), ("silent", SILENT_MS, b"", b"")]
            for code, late_ms, first, part in [*cases, ("half-request", SILENT_MS, b"", request[:20])]:
                client, link = await self.clients.rested(first, front)
                client.send(part)
                await self.until(lambda link=link, part=part: link.held() or not part)
                sent = len(self.rig.wants())
                client.send(request[len(part) :])
                with patch.object(link, "clock", lambda late_ms=late_ms: core_ms() + late_ms):
                    link._look()
                await self.until(client.ended)
                self.assertEqual((link.code, client.end, link.answered), (code, "fin", bool(first)))
                self.assertEqual(len(self.rig.wants()), sent)
                client.leave()
                await self.clients.gone()

    async def test_an_answer_on_its_way_survives_what_breaks_the_protocol(self) -> None:
        """And what was open on that connection is given up at once; nothing behind it is read."""
        sent, http = 0, self.clients.http(CLIP)
        for front, first, more in ((3, asked(1), asked(2)), (2, http, http)):
            self.rig.script, sent = [BIG, None], sent + 2
            client, link = await self.clients.rested(first + more, front)
            await self.until(lambda sent=sent: len(self.rig.wants()) == sent)
            client.send(b"no record, and no request either\r\n\r\n" + first + first)
            await self.until(lambda link=link: link.code)
            self.assertEqual(len(self.engine.requests), 0)
            await self.until(client.ended)
            self.assertEqual((client.end, client.got.count(b"w")), ("fin", 240_000))
            self.assertEqual(len(self.rig.wants()), sent)

    async def test_accepted_sockets_hold_no_small_write_back_and_who_finds_no_room_is_not_reset(self) -> None:
        self.rig.clients, self.rig.script = ClientTable(1, self.rig.clients.budget), [None]
        first, link = await self.clients.rested()
        first.send(asked(1))
        await self.until(self.rig.wants)
        (second := self.clients.connect()).send(asked(2))
        await self.until(lambda: self.rig.clients.lingering)
        (refused,) = self.rig.clients.lingering
        self.assertTrue(link.transport.getTcpNoDelay() and refused.transport.getTcpNoDelay())
        await self.until(second.ended)
        self.assertEqual((refused.code, second.end, len(self.rig.wants())), ("table-full", "fin", 1))

    async def test_idle_clients_in_all_places_make_room_for_one_who_asks(self) -> None:
        """One that crosses its eviction is not reset; those that never close hold one place in eight more."""
        idle = [await self.clients.rested(asked(number + 1)) for number in range(10)]
        self.rig.script, sent = [None] * 3, len(self.rig.wants())
        idle[2][0].send(asked(20))
        for number in range(3):
            self.clients.connect().send(asked(30 + number))
            self.rig.ports[3].doRead()
            self.assertLessEqual(self.rig.clients.connected, 11)
        await self.until(lambda: len(self.rig.wants()) == sent + 3)
        self.assertEqual([link.code for _, link in idle[:4]], ["evicted"] * 3 + [""])
        await self.until(lambda: all(client.ended() for client, _ in idle[:3]))
        self.assertEqual([client.end for client, _ in idle[1:3]], ["reset", "fin"])

    async def test_who_leaves_is_owed_nothing_wherever_the_request_is(self) -> None:
        """Out at a shelf; refused there, so that its retry waits; out while its client reads nothing."""
        self.rig.clients.budget.limit_bytes, router = 1 << 30, self.engine.router
        retry = asked(50, "keyed", HTTP_X_TXN_KEY="k")
        moments = ((asked(50), None, 0), (retry, (b"WAIT", b""), 0), (asked(50), None, 31))
        for (request, step, unread), how in ((m, how) for m in moments for how in (*ENDS, "abort")):
            self.rig.script, sent = [BIG] * unread + [step], len(self.rig.wants()) + unread + 1
            client = await self.clients.unread(b"".join(asked(n + 1) for n in range(unread)), unread)
            client.send(request)
            await self.until(lambda sent=sent: len(self.rig.wants()) == sent)
            await self.until(lambda out=step is None: len(self.engine.attempts) == out)
            self.assertEqual(len(self.engine.requests), 1)
            client.send(aborted(50)) if how == "abort" else client.leave(how)
            await self.until(lambda: not len(self.engine.requests))
            client.leave()
            await self.clients.gone()
            self.assertEqual((len(self.rig.wants()), router.requests.waiting), (sent, {}))  # type: ignore[attr-defined]

    async def test_a_burst_whose_client_has_gone_begins_nothing(self) -> None:
        """All of it lies there, its end behind it, before the router looks; also what was aborted."""
        opened: list[Any] = []
        bursts = (3, b"".join(asked(n + 1) for n in range(100))), (2, self.clients.http(CLIP) * 5)
        with patch.object(self.engine, "open", lambda call, reply: opened.append(call)):
            for how, (front, burst) in ((how, burst) for how in ENDS for burst in bursts):
                client = self.clients.connect(front)
                client.send(burst)
                client.leave(how)
            await self.until(lambda: self.rig.ports[3].sessionno == self.rig.ports[2].sessionno == 3)
            await self.clients.gone()
        self.assertEqual(opened, [])
        client = self.clients.connect()
        client.send(asked(1) + asked(2) + asked(3) + aborted(2))
        await self.until(lambda: client.answers() == 2)
        self.assertEqual([want[1] for want in self.rig.wants()], [b"%016x" % 1, b"%016x" % 3])

    async def test_a_slow_core_looks_between_requests_whether_their_client_is_still_there(self) -> None:
        slow, opened, take = [0.0], [], self.engine.open
        client = BareClient(self.rig.ports[3].getHost().port)

        def decide(call: Any, reply: Any) -> Any:
            opened.append(call)
            slow[0] += 12.0  # ms; two of these are more than a slice
            if len(opened) == 2:
                client.leave()
            return take(call, reply)

        self.rig.script = [None] * 20
        late = patch("standins.rig.core_ms", lambda: core_ms() + slow[0])
        with late, patch.object(self.engine, "open", decide):
            client.send(b"".join(asked(number + 1) for number in range(20)))
            await self.until(lambda: opened and not self.rig.clients.connected)
        self.assertEqual((len(opened), len(self.engine.requests)), (2, 0))

    async def test_a_process_that_was_held_up_looks_who_left_before_it_tries_again(self) -> None:
        self.rig.script, late = [(b"WAIT", b"")], lambda: core_ms() + 300.0
        client, _ = await self.clients.rested()
        client.send(asked(1, "keyed", HTTP_X_TXN_KEY="k"))
        await self.until(lambda: self.engine.router.requests.waiting)
        client.leave()
        with patch.object(self.engine, "clock", late), patch("thornjunction.net.alarm.core_ms", late):
            self.rig.alarm._call.cancel()
            self.rig.alarm._ring()
            await self.clients.gone()
        self.assertEqual(len(self.rig.wants()), 1)

    async def test_behind_our_shutdown_nothing_is_sent_on_and_before_it_all_is_answered(self) -> None:
        """The first request asks for the close; its neighbour on the platform's front was taken as well."""
        http, check = self.clients.http, asked(9, keep=0, SCRIPT_NAME="/check")
        last = (2, http(CLIP, "Connection: close") + http(CLIP), 1)
        for front, burst, owed in ((3, asked(1, keep=0) + asked(2), 2), (3, check + asked(2), 1), last):
            sent, client = len(self.rig.wants()), self.clients.connect(front)
            client.send(burst)
            await self.until(client.ended)
            client.send(asked(3) if front == 3 else http(CLIP))
            await self.until(lambda: any(link._crossed for link in self.rig.clients.lingering))
            self.assertEqual((client.end, len(self.rig.wants())), ("fin", sent + owed))
            self.assertEqual(client.answers() if front == 3 else 2, 2)
            client.leave()
            await self.clients.gone()

    async def test_connections_that_the_system_holds_when_the_port_closes_were_taken(self) -> None:
        deadlines, stopped = self.rig.alarm.deadlines, list[bool]()
        drain = Drain(self.rig.clients, deadlines, core_ms, self.engine.answer_all_now)
        told = (core_ms, lambda: stopped.append(True))
        shutdown = Shutdown(self.rig.clients, drain, self.engine, deadlines, *told)
        drain.start(0.0)
        shutdown.ports, shutdown._last = self.rig.ports[3:], core_ms() + 9000.0
        self.rig.ports[3].numberAccepts = 1
        [self.clients.connect().send(asked(number + 1)) for number in range(3)]
        shutdown._close_ports()
        for client in self.clients.all:
            await self.until(client.ended)
            self.assertEqual((client.end, client.answers()), ("fin", 1))
            client.leave()
        await self.until(lambda: stopped)
        drain.stop()
