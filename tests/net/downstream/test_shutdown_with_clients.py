"""A shutdown with clients on loopback: open requests and those of queued connections are answered."""

from __future__ import annotations

from fakes.loopback_environment import PortIndex
from fakes.raw_socket import encode_request

from tests.net.downstream.loopback_case import LoopbackTestCase
from thornjunction.net.event_loop.timer_service import core_ms


class ShutdownWithClientsTest(LoopbackTestCase):
    async def test_a_restart_while_servers_drain_answers_all_and_sends_them_nothing_new(self) -> None:
        """An attempt in flight at a draining server may complete; a later request is rejected."""
        drain = self.build_drain()
        shutdown = self.build_shutdown(drain)
        self.environment.script = [None]
        client, _ = await self.clients.connect_accepted()
        client.send(encode_request(1, ttl_ms=3_000))
        await self.wait_until(self.environment.forwarded_requests)
        shutdown.start(3_000.0, [], accept_connections=False)
        self.drain_servers()
        client.send(encode_request(2, ttl_ms=300))
        await self.wait_until(lambda: client.answer_count() == 1)
        server, request_id = self.environment.received_requests[-1]
        server.send_answer(request_id, b"DONE", b"x")
        await self.wait_until(client.has_ended)
        assert client.connection_end == "fin"
        assert client.answer_count() == 2
        assert client.received.count(b"Status: 200") == 1
        assert self.forwarded_count() == 1
        client.close()
        await self.wait_until(lambda: self.stop_calls)
        drain.stop()

    async def test_connections_in_the_accept_queue_when_the_port_closes_are_accepted(self) -> None:
        drain = self.build_drain()
        shutdown = self.build_shutdown(drain)
        drain.start(0.0)
        shutdown._ports = self.environment.ports[PortIndex.FASTCGI_FRONT :]
        shutdown._stop_at_ms = core_ms() + 9000.0
        self.environment.ports[PortIndex.FASTCGI_FRONT].numberAccepts = 1
        for number in range(3):
            self.clients.connect().send(encode_request(number + 1))
        shutdown._close_ports()
        for client in self.clients.clients:
            await self.wait_until(client.has_ended)
            assert client.connection_end == "fin"
            assert client.answer_count() == 1
            client.close()
        await self.wait_until(lambda: self.stop_calls)
        drain.stop()
