"""A shutdown with clients on loopback: open requests are answered, and connections in the backlog too."""

from __future__ import annotations

from fakes.raw_socket import asked

from tests.net.downstream.loopback_case import PLATFORM_PORT, LoopbackTestCase
from thornjunction.net.event_loop.timer_service import core_ms


class ShutdownWithClientsTest(LoopbackTestCase):
    async def test_a_restart_while_servers_drain_answers_all_and_sends_them_nothing_new(self) -> None:
        """An attempt at a draining server has its time; a later request is rejected."""
        drain = self.build_drain()
        shutdown = self.build_shutdown(drain)
        self.rig.script = [None]
        client, _ = await self.clients.rested()
        client.send(asked(1, ttl_ms=3_000))
        await self.until(self.rig.wants)
        shutdown.start(3_000.0, [], accept_new=False)
        self.drain_servers()
        client.send(asked(2, ttl_ms=300))
        await self.until(lambda: client.answers() == 1)
        server, ident = self.rig.asked[-1]
        server.say(ident, b"DONE", b"x")
        await self.until(client.ended)
        self.assertEqual(client.end, "fin")
        self.assertEqual(client.answers(), 2)
        self.assertEqual(client.got.count(b"Status: 200"), 1)
        self.assertEqual(self.forwarded_count(), 1)
        client.leave()
        await self.until(lambda: self.stop_calls)
        drain.stop()

    async def test_connections_that_the_system_holds_when_the_port_closes_are_accepted(self) -> None:
        drain = self.build_drain()
        shutdown = self.build_shutdown(drain)
        drain.start(0.0)
        shutdown._ports = self.rig.ports[PLATFORM_PORT:]
        shutdown._stop_at_ms = core_ms() + 9000.0
        self.rig.ports[PLATFORM_PORT].numberAccepts = 1
        for number in range(3):
            self.clients.connect().send(asked(number + 1))
        shutdown._close_ports()
        for client in self.clients.all:
            await self.until(client.ended)
            self.assertEqual(client.end, "fin")
            self.assertEqual(client.answers(), 1)
            client.leave()
        await self.until(lambda: self.stop_calls)
        drain.stop()
