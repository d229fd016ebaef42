"""Ends of clients' connections on loopback, in the order in which they go wrong: what is owed is answered,
what nobody waits for is not sent on, and nothing is reset."""

from __future__ import annotations

import math
from itertools import product
from typing import Any
from unittest.mock import patch

from fakes.raw_socket import CloseMode, RawSocketClient, encode_abort, encode_request
from fakes.raw_socket_clients import RawSocketClients
from twisted.trial.unittest import TestCase

from tests.loopback import CLIP, make_loopback_environment
from thornjunction import interface as api
from thornjunction.net.downstream.connection import IDLE_MS, SILENT_MS, DownstreamTable
from thornjunction.net.event_loop.timer_service import core_ms
from thornjunction.net.wire import fastcgi
from thornjunction.runtime.drain import Drain
from thornjunction.runtime.shutdown import Shutdown

BIG = (b"DONE", b"w" * 240_000)


class ClientEndingsTest(TestCase):
    timeout = 10

    def setUp(self) -> None:
        self.rig = make_loopback_environment()
        self.addCleanup(self.rig.stop)
        self.engine, self.clients, self.until = (
            self.rig.engine,
            RawSocketClients(self.rig),
            self.rig.wait_until,
        )
        self.addCleanup(self.clients.close)

    async def test_a_request_in_the_moment_of_an_idle_close_is_not_sent_on_and_nothing_is_reset(self) -> None:
        """One that lies there before the close is served: in a process that was held up, it may for long."""
        for front, request in ((3, encode_request(7)), (2, self.clients.encode_signed_request(CLIP))):
            cases = [("idle", IDLE_MS, request, b""), ("silent", SILENT_MS, b"", b"")]
            cases.append(("half-request", SILENT_MS, b"", request[:20]))
            for (code, late_ms, first, part), crosses in product(cases, (True, False)):
                client, link = await self.clients.connect_accepted(first, front)
                client.send(part)
                await self.until(lambda link=link, part=part: link.held() or not part)
                sent = len(self.rig.forwarded_requests())
                rest = request[len(part) :]
                client.send(b"" if crosses else rest)
                with patch.object(link, "clock", lambda late_ms=late_ms: core_ms() + late_ms):
                    link._look()
                client.send(rest if crosses else b"")
                if crosses:
                    await self.until(client.has_ended)
                    self.assertEqual(
                        (link.code, client.connection_end, link.answered), (code, "fin", bool(first))
                    )
                    self.assertEqual(len(self.rig.forwarded_requests()), sent)
                else:
                    await self.until(lambda link=link, first=first: link.answered == 1 + bool(first))
                    self.assertEqual((link.code, len(self.rig.forwarded_requests())), ("", sent + 1))
                client.close()
                await self.clients.wait_until_gone()

    async def test_a_request_that_lies_there_when_its_connection_is_to_leave_is_answered(self) -> None:
        """At a drain's look, and at the last one before the process ends."""
        drain = Drain(
            self.rig.downstream_table, self.rig.timer_service.deadlines, core_ms, self.engine.answer_all_now
        )
        told = (self.rig.timer_service.deadlines, core_ms, lambda: None)
        shutdown = Shutdown(self.rig.downstream_table, drain, self.engine, *told)
        shutdown._stop_at_ms = core_ms() + 9000.0
        for front, request in ((3, encode_request(7)), (2, self.clients.encode_signed_request(CLIP))):
            for ends_at, look in (
                (math.inf, lambda link: link.leave()),
                (0.0, lambda _: shutdown._check_done()),
            ):
                client, link = await self.clients.connect_accepted(request, front)
                client.send(request)
                self.engine.shutdown_at_ms = ends_at
                look(link)
                await self.until(lambda link=link: link.answered == 2)
                self.engine.shutdown_at_ms = math.inf
                client.close()
                await self.clients.wait_until_gone()

    async def test_a_restart_while_servers_drain_answers_all_and_sends_them_nothing_new(self) -> None:
        """What is out at a server that drains has its time; what comes then is refused, and it ends."""
        stopped, deadlines = list[bool](), self.rig.timer_service.deadlines
        drain = Drain(self.rig.downstream_table, deadlines, core_ms, self.engine.answer_all_now)
        told = (self.engine, deadlines, core_ms, lambda: stopped.append(True))
        shutdown = Shutdown(self.rig.downstream_table, drain, *told)
        self.rig.script = [None]
        client, _ = await self.clients.connect_accepted()
        client.send(encode_request(1, ttl_ms=3_000))
        await self.until(self.rig.forwarded_requests)
        shutdown.start(3_000.0, [], accept_new=False)
        self.rig.list_servers(api.ServerState.DRAINING)
        client.send(encode_request(2, ttl_ms=300))
        await self.until(lambda: client.answer_count() == 1)
        shelf, ident = self.rig.received_requests[-1]
        shelf.send_answer(ident, b"DONE", b"x")
        await self.until(client.has_ended)
        self.assertEqual(
            (client.connection_end, client.answer_count(), client.received.count(b"Status: 200")),
            ("fin", 2, 1),
        )
        self.assertEqual(len(self.rig.forwarded_requests()), 1)
        client.close()
        await self.until(lambda: stopped)
        drain.stop()

    async def test_an_answer_on_its_way_survives_what_breaks_the_protocol(self) -> None:
        """And what came whole before it is answered, too; nothing behind it is read."""
        sent, http = 0, self.clients.encode_signed_request(CLIP)
        for front, first, more in ((3, encode_request(1), encode_request(2)), (2, http, http)):
            self.rig.script, sent = [BIG, None], sent + 2
            client, link = await self.clients.connect_accepted(first, front)
            client.send(more + b"no record, and no request either\r\n\r\n" + first + first)
            await self.until(lambda link=link: link.deaf)
            await self.until(lambda sent=sent: len(self.rig.forwarded_requests()) == sent)
            shelf, ident = self.rig.received_requests[-1]
            shelf.send_answer(ident, b"DONE", b"x" * 5_000)
            await self.until(client.has_ended)
            self.assertEqual(client.connection_end, "fin")
            self.assertEqual([client.received.count(letter) for letter in (b"w", b"xx")], [240_000, 2_500])
            self.assertEqual(len(self.rig.forwarded_requests()), sent)

    async def test_accepted_sockets_hold_no_small_write_back_and_who_finds_no_room_is_not_reset(self) -> None:
        self.rig.downstream_table, self.rig.script = (
            DownstreamTable(1, self.rig.downstream_table.budget),
            [None],
        )
        first, link = await self.clients.connect_accepted()
        first.send(encode_request(1))
        await self.until(self.rig.forwarded_requests)
        (second := self.clients.connect()).send(encode_request(2))
        await self.until(lambda: self.rig.downstream_table.lingering)
        (refused,) = self.rig.downstream_table.lingering
        self.assertTrue(link.transport.getTcpNoDelay() and refused.transport.getTcpNoDelay())
        await self.until(second.has_ended)
        self.assertEqual(
            (refused.code, second.connection_end, second.answer_count()), ("table-full", "fin", 1)
        )
        self.assertEqual(len(self.rig.forwarded_requests()), 1)

    async def test_idle_clients_in_all_places_make_room_for_one_who_asks(self) -> None:
        """Whose request lies unread is not idle; those that never close hold one place in eight more."""
        idle = [await self.clients.connect_accepted(encode_request(number + 1)) for number in range(10)]
        self.rig.script, sent = [None] * 4, len(self.rig.forwarded_requests())
        idle[2][0].send(encode_request(20))
        for number in range(3):
            self.clients.connect().send(encode_request(30 + number))
            self.rig.ports[3].doRead()
            self.assertLessEqual(self.rig.downstream_table.connected, 11)
        await self.until(lambda: len(self.rig.forwarded_requests()) == sent + 4)
        self.assertEqual([link.code for _, link in idle[:5]], ["evicted", "evicted", "", "evicted", ""])
        await self.until(lambda: all(idle[place][0].has_ended() for place in (0, 1, 3)))
        self.assertEqual([idle[place][0].connection_end for place in (1, 3)], ["reset", "fin"])

    async def test_who_leaves_is_owed_nothing_wherever_the_request_is(self) -> None:
        """Out at a shelf; refused there, so that its retry waits; out while its client reads nothing."""
        self.rig.downstream_table.budget.limit_bytes, router = 1 << 30, self.engine.router
        retry = encode_request(50, "keyed", HTTP_X_TXN_KEY="k")
        moments = ((encode_request(50), None, 0), (retry, (b"WAIT", b""), 0), (encode_request(50), None, 31))
        for (request, step, unread), how in ((m, how) for m in moments for how in (*CloseMode, "abort")):
            self.rig.script, sent = [BIG] * unread + [step], len(self.rig.forwarded_requests()) + unread + 1
            client = await self.clients.connect_without_reading(
                b"".join(encode_request(n + 1) for n in range(unread)), unread
            )
            client.send(request)
            await self.until(lambda sent=sent: len(self.rig.forwarded_requests()) == sent)
            await self.until(lambda out=step is None: len(self.engine.attempts) == out)
            self.assertEqual(len(self.engine.requests), 1)
            client.send(encode_abort(50)) if how == "abort" else client.close(how)
            await self.until(lambda: not len(self.engine.requests))
            client.close()
            await self.clients.wait_until_gone()
            self.assertEqual((len(self.rig.forwarded_requests()), router.state.requests.waiting), (sent, {}))  # type: ignore[attr-defined]

    async def test_a_burst_whose_client_has_gone_begins_nothing(self) -> None:
        """All of it lies there, its end behind it, before the router looks; also what was aborted."""
        opened: list[Any] = []
        bursts = (
            (3, b"".join(encode_request(n + 1) for n in range(100))),
            (2, self.clients.encode_signed_request(CLIP) * 5),
        )
        with patch.object(self.engine, "open", lambda call, reply: opened.append(call)):
            for how, (front, burst) in ((how, burst) for how in CloseMode for burst in bursts):
                client = self.clients.connect(front)
                client.send(burst)
                client.close(how)
            await self.until(lambda: self.rig.ports[3].sessionno == self.rig.ports[2].sessionno == 3)
            await self.clients.wait_until_gone()
        self.assertEqual(opened, [])
        client = self.clients.connect()
        client.send(encode_request(1) + encode_request(2) + encode_request(3) + encode_abort(2))
        await self.until(lambda: client.answer_count() == 2)
        self.assertEqual(
            [command.request_id for command in self.rig.forwarded_requests()], [b"%016x" % 1, b"%016x" % 3]
        )

    async def test_a_slow_core_looks_between_requests_whether_their_client_is_still_there(self) -> None:
        slow, opened, take = [0.0], [], self.engine.open
        client = RawSocketClient(self.rig.ports[3].getHost().port)

        def decide(call: Any, reply: Any) -> Any:
            opened.append(call)
            slow[0] += 12.0  # ms; two of these are more than a slice
            if len(opened) == 2:
                client.close()
            return take(call, reply)

        self.rig.script = [None] * 20
        late = patch("fakes.loopback_environment.core_ms", lambda: core_ms() + slow[0])
        with late, patch.object(self.engine, "open", decide):
            client.send(b"".join(encode_request(number + 1) for number in range(20)))
            await self.until(lambda: opened and not self.rig.downstream_table.connected)
        self.assertEqual((len(opened), len(self.engine.requests)), (2, 0))

    async def test_a_process_that_was_held_up_looks_who_left_before_it_tries_again(self) -> None:
        self.rig.script, late = [(b"WAIT", b"")], lambda: core_ms() + 300.0
        client, _ = await self.clients.connect_accepted()
        client.send(encode_request(1, "keyed", HTTP_X_TXN_KEY="k"))
        await self.until(lambda: self.engine.router.state.requests.waiting)
        client.close()
        with (
            patch.object(self.engine, "clock", late),
            patch("thornjunction.net.event_loop.timer_service.core_ms", late),
        ):
            self.rig.timer_service._call.cancel()
            self.rig.timer_service._on_expiry()
            await self.clients.wait_until_gone()
        self.assertEqual(len(self.rig.forwarded_requests()), 1)

    async def test_behind_our_shutdown_nothing_is_sent_on_and_before_it_all_is_answered(self) -> None:
        """The first request asks for the close; its neighbour on the platform's front was taken as well."""
        http, check = self.clients.encode_signed_request, encode_request(9, keep=0, SCRIPT_NAME="/check")
        last = (2, http(CLIP, "Connection: close") + http(CLIP), 1)
        for front, burst, owed in (
            (3, encode_request(1, keep=0) + encode_request(2), 2),
            (3, check + encode_request(2), 1),
            last,
        ):
            sent, client = len(self.rig.forwarded_requests()), self.clients.connect(front)
            client.send(burst)
            await self.until(client.has_ended)
            client.send(encode_request(3) if front == 3 else http(CLIP))
            await self.until(lambda: any(link._crossed for link in self.rig.downstream_table.lingering))
            self.assertEqual(
                (client.connection_end, len(self.rig.forwarded_requests())), ("fin", sent + owed)
            )
            self.assertEqual(client.answer_count() if front == 3 else 2, 2)
            client.close()
            await self.clients.wait_until_gone()

    async def test_other_clients_trouble_frees_no_request_of_its_answer(self) -> None:
        """Garbage, a reset, a part that takes up the memory, idle clients, then busy ones in all places."""
        self.rig.script, self.rig.downstream_table.budget.limit_bytes = [None], 5_000
        bystander, link = await self.clients.connect_accepted()
        bystander.send(encode_request(1, ttl_ms=9_000))
        await self.until(self.rig.forwarded_requests)
        trouble = [
            (encode_request(2) + b"garbage" * 9, "half-close"),
            (encode_request(3)[:30], "reset"),
            (b"", "close"),
        ]
        for data, how in trouble:
            client, _ = await self.clients.connect_accepted()
            client.send(data)
            client.close(how)
        hog, held = await self.clients.connect_accepted()
        hog.send(fastcgi.HEADER.pack(1, fastcgi.RecordType.STDIN, 1, 65_535, 0) + bytes(6_000))
        await self.until(lambda: held.code == "memory")
        for number in range(10, 22):
            (idle := self.clients.connect()).send(encode_request(number))
            await self.until(idle.answer_count)
        self.rig.script, sent = [None] * 9, len(self.rig.forwarded_requests())
        for number in range(30, 39):
            self.clients.connect().send(encode_request(number, ttl_ms=9_000))
        await self.until(lambda: len(self.rig.forwarded_requests()) == sent + 9)
        (late := self.clients.connect()).send(encode_request(40))
        await self.until(late.answer_count)
        shelf, ident = self.rig.received_requests[0]
        shelf.send_answer(ident, b"DONE", b"late")
        await self.until(bystander.answer_count)
        self.assertEqual((link.code, bystander.answer_count(), bystander.received.count(b"late")), ("", 1, 1))

    async def test_a_resting_connection_that_its_server_ends_or_forgets_costs_no_answer(self) -> None:
        """Just before a request: closed, reset, and no more heard of; who is forgotten costs one request."""
        for how, served in (("loseConnection", 3), ("abortConnection", 3), ("", 2)):
            client, _ = await self.clients.connect_accepted(encode_request(1))
            shelf, _ = self.rig.received_requests[-1]
            if how:
                getattr(shelf.transport, how)()
            else:
                shelf.dataReceived = lambda data: None  # type: ignore[method-assign]
            for number in (2, 3):
                client.send(encode_request(number, ttl_ms=600))
                await self.until(lambda client=client, number=number: client.answer_count() == number)
            self.assertEqual(client.received.count(b"Status: 200"), served, how)
            client.close()
            await self.clients.wait_until_gone()

    async def test_a_request_with_next_to_no_time_is_answered_and_not_begun(self) -> None:
        """Servers may drop such without a word; with a little more it is sent, and answered in time."""
        for ttl_ms, begun in ((1, 0), (5, 0), (60, 1), (200, 1)):
            self.rig.script, sent = [None], len(self.rig.forwarded_requests())
            client = self.clients.connect()
            client.send(encode_request(ttl_ms, ttl_ms=ttl_ms))
            await self.until(client.answer_count)
            self.assertEqual(
                (client.answer_count(), len(self.rig.forwarded_requests()) - sent), (1, begun), ttl_ms
            )
            self.assertEqual(len(self.engine.requests), 0)
            client.close()
            await self.clients.wait_until_gone()

    async def test_connections_that_the_system_holds_when_the_port_closes_were_taken(self) -> None:
        deadlines, stopped = self.rig.timer_service.deadlines, list[bool]()
        drain = Drain(self.rig.downstream_table, deadlines, core_ms, self.engine.answer_all_now)
        told = (core_ms, lambda: stopped.append(True))
        shutdown = Shutdown(self.rig.downstream_table, drain, self.engine, deadlines, *told)
        drain.start(0.0)
        shutdown._ports, shutdown._stop_at_ms = self.rig.ports[3:], core_ms() + 9000.0
        self.rig.ports[3].numberAccepts = 1
        [self.clients.connect().send(encode_request(number + 1)) for number in range(3)]
        shutdown._close_ports()
        for client in self.clients.clients:
            await self.until(client.has_ended)
            self.assertEqual((client.connection_end, client.answer_count()), ("fin", 1))
            client.close()
        await self.until(lambda: stopped)
        drain.stop()
