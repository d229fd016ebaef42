"""Requests near the end of an idle connection: answered if they arrived before it, else not forwarded."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from unittest.mock import patch

from fakes.loopback_environment import PortIndex
from fakes.raw_socket import RawSocketClient, encode_request

from tests.loopback import FILM_PATH
from tests.net.downstream.loopback_case import LoopbackTestCase
from thornjunction.net.downstream.connection import DownstreamConnection
from thornjunction.net.downstream.request_times import IDLE_TIMEOUT_MS, REQUEST_TIMEOUT_MS
from thornjunction.net.event_loop.timer_service import core_ms

CheckConnection = Callable[[DownstreamConnection], None]


@dataclass(frozen=True, slots=True)
class TimeLimitCase:
    """A connection that reaches a time limit.

    Attributes:
        port: index of the front among the environment's ports.
        request: a request to that front, sent just before or after the limit is checked.
        reason: the reason why the connection ends.
        limit_ms: the time limit.
        first_request: a request that was sent and answered before; empty if there is none.
        partial_request: the first bytes of ``request``, received before; empty if there are none.
    """

    port: int
    request: bytes
    reason: str
    limit_ms: float
    first_request: bytes = b""
    partial_request: bytes = b""

    @property
    def rest_of_request(self) -> bytes:
        return self.request[len(self.partial_request) :]

    @property
    def responses_before(self) -> int:
        return 1 if self.first_request else 0


class PendingRequestTest(LoopbackTestCase):
    def requests_by_port(self) -> dict[int, bytes]:
        return {
            PortIndex.FASTCGI_FRONT: encode_request(7),
            PortIndex.SIGNED_FRONT: self.clients.encode_signed_request(FILM_PATH),
        }

    def time_limit_cases(self) -> list[TimeLimitCase]:
        cases = []
        for port, request in self.requests_by_port().items():
            cases.append(TimeLimitCase(port, request, "idle", IDLE_TIMEOUT_MS, first_request=request))
            cases.append(TimeLimitCase(port, request, "silent", REQUEST_TIMEOUT_MS))
            cases.append(
                TimeLimitCase(port, request, "half-request", REQUEST_TIMEOUT_MS, partial_request=request[:20])
            )
        return cases

    async def connect(self, case: TimeLimitCase) -> tuple[RawSocketClient, Any]:
        """Return a client in the state that ``case`` describes, and the router's side of its connection."""
        client, connection = await self.clients.connect_accepted(case.first_request, case.port)
        client.send(case.partial_request)
        await self.wait_until(lambda: connection.partial_request_bytes() or not case.partial_request)
        return client, connection

    def check_times_at_limit(self, connection: Any, case: TimeLimitCase) -> None:
        with patch.object(connection, "clock", lambda: core_ms() + case.limit_ms):
            connection._check_times()

    async def test_a_request_sent_during_an_idle_close_is_not_forwarded_and_causes_no_reset(self) -> None:
        for case in self.time_limit_cases():
            client, connection = await self.connect(case)
            forwarded_before = self.forwarded_count()
            self.check_times_at_limit(connection, case)
            client.send(case.rest_of_request)
            await self.wait_until(client.has_ended)
            assert connection.end_reason == case.reason
            assert client.connection_end == "fin"
            assert connection.response_count == case.responses_before
            assert self.forwarded_count() == forwarded_before
            await self.close_and_wait_until_released(client)

    async def test_a_request_that_arrived_before_an_idle_close_is_answered(self) -> None:
        """If the event loop was blocked, the request may have been waiting unread for a long time."""
        for case in self.time_limit_cases():
            client, connection = await self.connect(case)
            forwarded_before = self.forwarded_count()
            client.send(case.rest_of_request)
            self.check_times_at_limit(connection, case)
            await self.wait_until_responses(connection, case.responses_before + 1)
            assert connection.end_reason == ""
            assert self.forwarded_count() == forwarded_before + 1
            await self.close_and_wait_until_released(client)

    async def test_a_request_that_arrived_before_a_drain_closes_its_connection_is_answered(self) -> None:
        await self.check_pending_request_is_answered(lambda connection: connection.close_if_idle(), math.inf)

    async def test_a_request_that_arrived_before_the_process_ends_is_answered(self) -> None:
        shutdown = self.build_shutdown(self.build_drain())
        shutdown._stop_at_ms = core_ms() + 9000.0
        await self.check_pending_request_is_answered(lambda _: shutdown._check_done(), 0.0)

    async def check_pending_request_is_answered(self, check: CheckConnection, shutdown_at_ms: float) -> None:
        """Check that a second request, unread when ``check`` decides about the connection, is answered."""
        for port, request in self.requests_by_port().items():
            client, connection = await self.clients.connect_accepted(request, port)
            client.send(request)
            self.engine.shutdown_at_ms = shutdown_at_ms
            check(connection)
            await self.wait_until_responses(connection, 2)
            self.engine.shutdown_at_ms = math.inf
            await self.close_and_wait_until_released(client)

    async def wait_until_responses(self, connection: Any, count: int) -> None:
        await self.wait_until(lambda: connection.response_count == count)
