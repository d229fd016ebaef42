"""Clients that leave on loopback: nothing is begun, repeated or kept for them."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import product
from typing import Any
from unittest.mock import patch

from fakes.raw_socket import ENDS, BareClient, aborted, asked

from tests.loopback import CLIP
from tests.net.downstream.loopback_case import (
    LARGE_RESPONSE,
    PLATFORM_PORT,
    SIGNED_PORT,
    LoopbackTestCase,
)
from thornjunction.net.event_loop.timer_service import core_ms

REQUEST_ID = 50


@dataclass(frozen=True, slots=True)
class OpenRequestCase:
    """Where a request is as its client leaves.

    Attributes:
        request: the request itself.
        server_step: what its server answers; None: nothing.
        unread_responses: earlier responses that the client has not read.
    """

    request: bytes
    server_step: tuple[bytes, bytes] | None
    unread_responses: int = 0


OPEN_REQUEST_CASES = (
    OpenRequestCase(asked(REQUEST_ID), None),
    OpenRequestCase(asked(REQUEST_ID, "keyed", HTTP_X_TXN_KEY="k"), (b"WAIT", b"")),
    OpenRequestCase(asked(REQUEST_ID), None, unread_responses=31),
)
"""At a server; rejected there, so that its retry waits; at a server while its client reads nothing."""


class ClientDisconnectTest(LoopbackTestCase):
    async def test_a_client_that_leaves_is_owed_nothing_wherever_its_request_is(self) -> None:
        self.rig.clients.budget.limit_bytes = 1 << 30
        for case, how in product(OPEN_REQUEST_CASES, (*ENDS, "abort")):
            await self.check_client_that_leaves(case, how)

    async def check_client_that_leaves(self, case: OpenRequestCase, how: str) -> None:
        count = case.unread_responses
        forwarded = self.forwarded_count() + count + 1
        self.rig.script = [LARGE_RESPONSE] * count + [case.server_step]
        client = await self.clients.unread(b"".join(asked(number + 1) for number in range(count)), count)
        client.send(case.request)
        await self.until_forwarded(forwarded)
        attempts_in_flight = 1 if case.server_step is None else 0
        await self.until(lambda: len(self.engine.attempts) == attempts_in_flight)
        self.assertEqual(len(self.engine.requests), 1)
        if how == "abort":
            client.send(aborted(REQUEST_ID))
        else:
            client.leave(how)
        await self.until(lambda: not len(self.engine.requests))
        await self.until_gone(client)
        self.assertEqual(self.forwarded_count(), forwarded)
        self.assertEqual(self.engine.router.requests.waiting, {})  # type: ignore[attr-defined]

    async def test_a_burst_whose_client_has_gone_begins_nothing(self) -> None:
        """All of it, and the end of its connection, has arrived before the router reads."""
        opened: list[Any] = []
        bursts = {
            PLATFORM_PORT: b"".join(asked(number + 1) for number in range(100)),
            SIGNED_PORT: self.clients.http(CLIP) * 5,
        }
        with patch.object(self.engine, "open", lambda call, reply: opened.append(call)):
            for how, (port, burst) in product(ENDS, bursts.items()):
                client = self.clients.connect(port)
                client.send(burst)
                client.leave(how)
            await self.until(lambda: all(self.rig.ports[port].sessionno == len(ENDS) for port in bursts))
            await self.clients.gone()
        self.assertEqual(opened, [])

    async def test_an_aborted_request_of_a_burst_is_not_begun(self) -> None:
        client = self.clients.connect()
        client.send(asked(1) + asked(2) + asked(3) + aborted(2))
        await self.until(lambda: client.answers() == 2)
        self.assertEqual([want[1] for want in self.rig.wants()], [b"%016x" % 1, b"%016x" % 3])

    async def test_a_slow_core_polls_its_clients_between_requests(self) -> None:
        delay_ms = 0.0
        opened: list[Any] = []
        open_request = self.engine.open
        client = BareClient(self.rig.ports[PLATFORM_PORT].getHost().port)

        def open_slowly(call: Any, reply: Any) -> Any:
            nonlocal delay_ms
            opened.append(call)
            delay_ms += 12.0  # two of these are more than a time slice
            if len(opened) == 2:
                client.leave()
            return open_request(call, reply)

        self.rig.script = [None] * 20
        late_clock = patch("fakes.loopback_environment.core_ms", lambda: core_ms() + delay_ms)
        with late_clock, patch.object(self.engine, "open", open_slowly):
            client.send(b"".join(asked(number + 1) for number in range(20)))
            await self.until(lambda: opened and not self.rig.clients.connection_count)
        self.assertEqual(len(opened), 2)
        self.assertEqual(len(self.engine.requests), 0)

    async def test_a_process_that_was_held_up_notices_who_left_before_it_retries(self) -> None:
        self.rig.script = [(b"WAIT", b"")]
        client, _ = await self.clients.rested()
        client.send(asked(1, "keyed", HTTP_X_TXN_KEY="k"))
        await self.until(lambda: self.engine.router.requests.waiting)  # type: ignore[attr-defined]
        client.leave()

        def late_ms() -> float:
            return core_ms() + 300.0

        with (
            patch.object(self.engine, "clock", late_ms),
            patch("thornjunction.net.event_loop.timer_service.core_ms", late_ms),
        ):
            self.rig.alarm._call.cancel()
            self.rig.alarm._ring()
            await self.clients.gone()
        self.assertEqual(self.forwarded_count(), 1)
