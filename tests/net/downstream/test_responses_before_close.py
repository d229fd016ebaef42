"""Closes after open requests: earlier requests are answered, and later ones are not forwarded."""

from __future__ import annotations

from fakes.loopback_environment import PortIndex
from fakes.raw_socket import encode_request

from tests.loopback import FILM_PATH
from tests.net.downstream.loopback_case import (
    LARGE_RESPONSE,
    LoopbackTestCase,
)
from thornjunction.net.downstream.connection_state import ConnectionState

GARBAGE = b"no record, and no request either\r\n\r\n"


class ResponsesBeforeCloseTest(LoopbackTestCase):
    async def test_an_unread_response_is_delivered_after_a_protocol_violation(self) -> None:
        """Complete requests before the violation are answered too; nothing after it is read."""
        http_request = self.clients.encode_signed_request(FILM_PATH)
        await self.check_protocol_violation(PortIndex.FASTCGI_FRONT, encode_request(1), encode_request(2))
        await self.check_protocol_violation(PortIndex.SIGNED_FRONT, http_request, http_request)

    async def check_protocol_violation(self, port: int, first: bytes, second: bytes) -> None:
        """Send garbage while the first response is unread and the second request is open."""
        forwarded = self.forwarded_count() + 2
        self.environment.script = [LARGE_RESPONSE, None]
        client, connection = await self.clients.connect_accepted(first, port)
        client.send(second + GARBAGE + first + first)
        await self.wait_until(lambda: connection.state is ConnectionState.HALF_CLOSED)
        await self.wait_until_forwarded(forwarded)
        server, request_id = self.environment.received_requests[-1]
        server.send_answer(request_id, b"DONE", b"x" * 5_000)
        await self.wait_until(client.has_ended)
        assert client.connection_end == "fin"
        assert client.received.count(b"w") == 240000
        assert client.received.count(b"xx") == 2500
        assert self.forwarded_count() == forwarded

    async def test_a_request_to_close_ends_the_connection_after_the_next_request_on_the_platforms_front(
        self,
    ) -> None:
        last_request = encode_request(1, keep=False)
        health_check = encode_request(9, keep=False, SCRIPT_NAME="/check")
        await self.check_last_request(
            PortIndex.FASTCGI_FRONT, last_request + encode_request(2), encode_request(3), forwarded=2
        )
        await self.check_last_request(
            PortIndex.FASTCGI_FRONT, health_check + encode_request(2), encode_request(3), forwarded=1
        )

    async def test_a_request_to_close_is_the_last_one_on_the_signed_front(self) -> None:
        request = self.clients.encode_signed_request(FILM_PATH)
        last_request = self.clients.encode_signed_request(FILM_PATH, "Connection: close")
        await self.check_last_request(PortIndex.SIGNED_FRONT, last_request + request, request, forwarded=1)

    async def check_last_request(self, port: int, burst: bytes, later_request: bytes, forwarded: int) -> None:
        """Send a burst whose first request asks to close, and another request after the router's close."""
        forwarded_before = self.forwarded_count()
        client = self.clients.connect(port)
        client.send(burst)
        await self.wait_until(client.has_ended)
        client.send(later_request)
        await self.wait_until(self.has_discarded_bytes)
        assert client.connection_end == "fin"
        assert self.forwarded_count() == forwarded_before + forwarded
        if port == PortIndex.FASTCGI_FRONT:
            assert client.answer_count() == 2
        await self.close_and_wait_until_released(client)

    def has_discarded_bytes(self) -> bool:
        return any(
            connection.lingering_close.discarded_bytes
            for connection in self.environment.downstream_table.lingering
        )
