"""Clients that disconnect on loopback sockets: no request is started, retried or kept for them."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import product
from typing import Any
from unittest.mock import patch

from fakes.loopback_environment import PortIndex
from fakes.raw_socket import CloseMode, RawSocketClient, encode_abort, encode_request

from tests.loopback import FILM_PATH
from tests.net.downstream.loopback_case import (
    LARGE_RESPONSE,
    LoopbackTestCase,
)
from thornjunction.net.event_loop.timer_service import core_ms

REQUEST_ID = 50

# In addition to the close modes: the client aborts its request and stays connected.
ABORT_REQUEST = "abort-request"


@dataclass(frozen=True, slots=True)
class OpenRequestCase:
    """The state of a request when its client disconnects.

    Attributes:
        request: the encoded request.
        server_step: the server's scripted response; None if it does not respond.
        unread_responses: number of earlier responses that the client has not read.
    """

    request: bytes
    server_step: tuple[bytes, bytes] | None
    unread_responses: int = 0


# In flight at a server; rejected by it and waiting for a retry; in flight while the client reads nothing.
OPEN_REQUEST_CASES = (
    OpenRequestCase(encode_request(REQUEST_ID), None),
    OpenRequestCase(encode_request(REQUEST_ID, "keyed", HTTP_X_TXN_KEY="k"), (b"WAIT", b"")),
    OpenRequestCase(encode_request(REQUEST_ID), None, unread_responses=31),
)


class ClientDisconnectTest(LoopbackTestCase):
    async def test_a_client_disconnect_ends_its_request_in_any_state(self) -> None:
        self.environment.downstream_table.budget.limit_bytes = 1 << 30
        for case, close_mode in product(OPEN_REQUEST_CASES, (*CloseMode, ABORT_REQUEST)):
            await self.check_client_disconnect(case, close_mode)

    async def check_client_disconnect(self, case: OpenRequestCase, close_mode: str) -> None:
        count = case.unread_responses
        forwarded = self.forwarded_count() + count + 1
        self.environment.script = [LARGE_RESPONSE] * count + [case.server_step]
        client = await self.clients.connect_without_reading(
            b"".join(encode_request(number + 1) for number in range(count)), count
        )
        client.send(case.request)
        await self.wait_until_forwarded(forwarded)
        attempts_in_flight = 1 if case.server_step is None else 0
        await self.wait_until(lambda: len(self.engine.attempts) == attempts_in_flight)
        assert len(self.engine.requests) == 1
        if close_mode == ABORT_REQUEST:
            client.send(encode_abort(REQUEST_ID))
        else:
            client.close(close_mode)
        await self.wait_until(lambda: not len(self.engine.requests))
        await self.close_and_wait_until_released(client)
        assert self.forwarded_count() == forwarded
        assert self.engine.router.state.requests.waiting == {}  # type: ignore[attr-defined]

    async def test_a_burst_of_a_disconnected_client_starts_no_request(self) -> None:
        """The entire burst and the end of its connection have arrived before the router reads."""
        opened: list[Any] = []
        bursts = {
            PortIndex.FASTCGI_FRONT: b"".join(encode_request(number + 1) for number in range(100)),
            PortIndex.SIGNED_FRONT: self.clients.encode_signed_request(FILM_PATH) * 5,
        }
        with patch.object(self.engine, "open", lambda call, reply: opened.append(call)):
            for close_mode, (port, burst) in product(CloseMode, bursts.items()):
                client = self.clients.connect(port)
                client.send(burst)
                client.close(close_mode)
            await self.wait_until(
                lambda: all(self.environment.ports[port].sessionno == len(CloseMode) for port in bursts)
            )
            await self.clients.wait_until_gone()
        assert opened == []

    async def test_an_aborted_request_of_a_burst_is_not_started(self) -> None:
        client = self.clients.connect()
        client.send(encode_request(1) + encode_request(2) + encode_request(3) + encode_abort(2))
        await self.wait_until(lambda: client.answer_count() == 2)
        assert [request.request_id for request in self.environment.forwarded_requests()] == [
            b"%016x" % 1,
            b"%016x" % 3,
        ]

    async def test_a_slow_core_polls_its_clients_between_requests(self) -> None:
        delay_ms = 0.0
        opened: list[Any] = []
        open_request = self.engine.open
        client = RawSocketClient(self.environment.ports[PortIndex.FASTCGI_FRONT].getHost().port)

        def open_slowly(call: Any, reply: Any) -> Any:
            nonlocal delay_ms
            opened.append(call)
            delay_ms += 12.0  # two of these delays exceed a time slice
            if len(opened) == 2:
                client.close()
            return open_request(call, reply)

        self.environment.script = [None] * 20
        late_clock = patch("fakes.loopback_environment.core_ms", lambda: core_ms() + delay_ms)
        with late_clock, patch.object(self.engine, "open", open_slowly):
            client.send(b"".join(encode_request(number + 1) for number in range(20)))
            await self.wait_until(lambda: opened and not self.environment.downstream_table.connection_count)
        assert len(opened) == 2
        assert len(self.engine.requests) == 0

    async def test_a_blocked_process_detects_a_disconnect_before_it_retries(self) -> None:
        self.environment.script = [(b"WAIT", b"")]
        client, _ = await self.clients.connect_accepted()
        client.send(encode_request(1, "keyed", HTTP_X_TXN_KEY="k"))
        await self.wait_until(lambda: self.engine.router.state.requests.waiting)  # type: ignore[attr-defined]
        client.close()

        def late_ms() -> float:
            return core_ms() + 300.0

        with (
            patch.object(self.engine, "clock", late_ms),
            patch("thornjunction.net.event_loop.timer_service.core_ms", late_ms),
        ):
            self.environment.timer_service._call.cancel()
            self.environment.timer_service._on_expiry()
            await self.clients.wait_until_gone()
        assert self.forwarded_count() == 1
