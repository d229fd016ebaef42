"""Closes that follow open requests: what came before is answered, and nothing after it is sent on."""

from __future__ import annotations

from fakes.raw_socket import asked

from tests.loopback import CLIP
from tests.net.downstream.loopback_case import (
    LARGE_RESPONSE,
    PLATFORM_PORT,
    SIGNED_PORT,
    LoopbackTestCase,
)
from thornjunction.net.downstream.connection_state import ConnectionState

GARBAGE = b"no record, and no request either\r\n\r\n"


class ResponsesBeforeCloseTest(LoopbackTestCase):
    async def test_a_response_on_its_way_survives_a_protocol_violation(self) -> None:
        """What came completely before it is answered too; nothing after it is read."""
        http_request = self.clients.http(CLIP)
        await self.check_protocol_violation(PLATFORM_PORT, asked(1), asked(2))
        await self.check_protocol_violation(SIGNED_PORT, http_request, http_request)

    async def check_protocol_violation(self, port: int, first: bytes, second: bytes) -> None:
        """The first response is unread, and the second request open, as garbage arrives."""
        forwarded = self.forwarded_count() + 2
        self.rig.script = [LARGE_RESPONSE, None]
        client, connection = await self.clients.rested(first, port)
        client.send(second + GARBAGE + first + first)
        await self.until(lambda: connection.state is ConnectionState.HALF_CLOSED)
        await self.until_forwarded(forwarded)
        server, ident = self.rig.asked[-1]
        server.say(ident, b"DONE", b"x" * 5_000)
        await self.until(client.ended)
        self.assertEqual(client.end, "fin")
        self.assertEqual(client.got.count(b"w"), 240_000)
        self.assertEqual(client.got.count(b"xx"), 2_500)
        self.assertEqual(self.forwarded_count(), forwarded)

    async def test_a_request_for_the_close_ends_the_connection_after_its_neighbour_on_the_platforms_front(
        self,
    ) -> None:
        last_request = asked(1, keep=0)
        health_check = asked(9, keep=0, SCRIPT_NAME="/check")
        await self.check_last_request(PLATFORM_PORT, last_request + asked(2), asked(3), forwarded=2)
        await self.check_last_request(PLATFORM_PORT, health_check + asked(2), asked(3), forwarded=1)

    async def test_a_request_for_the_close_is_the_last_one_on_the_signed_front(self) -> None:
        request = self.clients.http(CLIP)
        last_request = self.clients.http(CLIP, "Connection: close")
        await self.check_last_request(SIGNED_PORT, last_request + request, request, forwarded=1)

    async def check_last_request(self, port: int, burst: bytes, later_request: bytes, forwarded: int) -> None:
        """The first request of a burst asks for the close; a later one arrives after the end is sent."""
        forwarded_before = self.forwarded_count()
        client = self.clients.connect(port)
        client.send(burst)
        await self.until(client.ended)
        client.send(later_request)
        await self.until(self.has_discarded_bytes)
        self.assertEqual(client.end, "fin")
        self.assertEqual(self.forwarded_count(), forwarded_before + forwarded)
        if port == PLATFORM_PORT:
            self.assertEqual(client.answers(), 2)
        await self.until_gone(client)

    def has_discarded_bytes(self) -> bool:
        return any(connection.lingering_close.discarded_bytes for connection in self.rig.clients.lingering)
