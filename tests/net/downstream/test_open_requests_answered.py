"""Trouble elsewhere on loopback: each open request keeps its response."""

from __future__ import annotations

from fakes.raw_socket import encode_request

from tests.net.downstream.loopback_case import LoopbackTestCase
from thornjunction.net.wire import fastcgi

# What a client sends, and how it leaves.
BROKEN_CLIENTS = (
    (encode_request(2) + b"garbage" * 9, "half-close"),
    (encode_request(3)[:30], "reset"),
    (b"", "close"),
)

# A part of a request that exceeds the budget of buffered bytes.
ENDLESS_REQUEST = fastcgi.HEADER.pack(1, fastcgi.RecordType.STDIN, 1, 65_535, 0) + bytes(6_000)


class OpenRequestsAnsweredTest(LoopbackTestCase):
    async def test_the_trouble_of_other_clients_takes_no_response_from_a_request(self) -> None:
        """Garbage, a reset, a part that takes up the memory, idle clients, then busy ones in all slots."""
        self.environment.script = [None]
        self.environment.downstream_table.budget.limit_bytes = 5_000
        bystander, connection = await self.clients.connect_accepted()
        bystander.send(encode_request(1, ttl_ms=9_000))
        await self.until(self.environment.forwarded_requests)
        await self.connect_broken_clients()
        await self.connect_idle_clients()
        await self.connect_busy_clients()
        server, ident = self.environment.received_requests[0]
        server.send_answer(ident, b"DONE", b"late")
        await self.until(bystander.answer_count)
        assert connection.end_reason == ""
        assert bystander.answer_count() == 1
        assert bystander.received.count(b"late") == 1

    async def connect_broken_clients(self) -> None:
        for data, how in BROKEN_CLIENTS:
            client, _ = await self.clients.connect_accepted()
            client.send(data)
            client.close(how)
        endless, connection = await self.clients.connect_accepted()
        endless.send(ENDLESS_REQUEST)
        await self.until(lambda: connection.end_reason == "memory")

    async def connect_idle_clients(self) -> None:
        for number in range(10, 22):
            idle = self.clients.connect()
            idle.send(encode_request(number))
            await self.until(idle.answer_count)

    async def connect_busy_clients(self) -> None:
        """Open requests in all slots; one more is rejected."""
        self.environment.script = [None] * 9
        forwarded_before = self.forwarded_count()
        for number in range(30, 39):
            self.clients.connect().send(encode_request(number, ttl_ms=9_000))
        await self.until_forwarded(forwarded_before + 9)
        late = self.clients.connect()
        late.send(encode_request(40))
        await self.until(late.answer_count)

    async def test_an_idle_connection_that_its_server_closes_or_resets_costs_no_response(self) -> None:
        """It ends just before a request."""
        for how in ("loseConnection", "abortConnection"):
            client, _ = await self.clients.connect_accepted(encode_request(1))
            server, _ = self.environment.received_requests[-1]
            getattr(server.transport, how)()
            await self.check_served_responses(client, 3)

    async def test_an_idle_connection_that_its_server_forgets_costs_one_request(self) -> None:
        client, _ = await self.clients.connect_accepted(encode_request(1))
        server, _ = self.environment.received_requests[-1]
        server.dataReceived = lambda data: None
        await self.check_served_responses(client, 2)

    async def check_served_responses(self, client: object, served: int) -> None:
        """After the first request, two more are answered; so many of the three are served."""
        for number in (2, 3):
            client.send(encode_request(number, ttl_ms=600))  # type: ignore[attr-defined]
            await self.until(lambda number=number: client.answer_count() == number)  # type: ignore[attr-defined]
        assert client.received.count(b"Status: 200") == served  # type: ignore[attr-defined]
        await self.until_gone(client)

    async def test_a_request_with_next_to_no_time_is_answered_and_not_begun(self) -> None:
        """Servers may drop such without a response."""
        for ttl_ms in (1, 5):
            await self.check_short_request(ttl_ms, forwarded=0)

    async def test_a_request_with_little_time_is_sent_and_answered_in_time(self) -> None:
        for ttl_ms in (60, 200):
            await self.check_short_request(ttl_ms, forwarded=1)

    async def check_short_request(self, ttl_ms: int, forwarded: int) -> None:
        """A request whose server is silent."""
        self.environment.script = [None]
        forwarded_before = self.forwarded_count()
        client = self.clients.connect()
        client.send(encode_request(ttl_ms, ttl_ms=ttl_ms))
        await self.until(client.answer_count)
        assert client.answer_count() == 1
        assert self.forwarded_count() - forwarded_before == forwarded
        assert len(self.engine.requests) == 0
        await self.until_gone(client)
