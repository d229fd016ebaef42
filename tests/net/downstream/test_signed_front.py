"""Requests and responses of the signed front, and of the platform's front beside it."""

from __future__ import annotations

from fakes.clients import FastCgiClient
from fakes.loopback_environment import PortIndex

from tests.loopback import ALERT, CLIP
from tests.net.downstream.signed_front_case import SignedFrontTestCase
from tests.net.wire.test_codecs import PARAMS, asked
from thornjunction.net.wire import fastcgi


class SignedFrontTest(SignedFrontTestCase):
    async def test_a_signed_request_is_served_once(self) -> None:
        response = await self.request(self.rig.sign_target(CLIP))
        self.assertEqual(response.status, 200)
        self.assertEqual(response.body, b"wave")
        self.assertEqual(response.headers["etag"], '"t1"')
        self.assertIn(
            b"profile=films,thing=7f3a9c21e0b4d655,nth=0", self.rig.forwarded_requests()[0].arguments[0]
        )

    async def test_a_deadline_is_a_504_and_the_attempt_is_cancelled(self) -> None:
        self.rig.script = [None] * 9
        response = await self.request(
            self.rig.sign_target(ALERT), "POST", X_Ttl_Ms="80", Idempotency_Key="k1"
        )
        self.assertEqual(response.status, 504)
        await self.until_cancelled()

    async def test_a_rejection_says_when_to_retry(self) -> None:
        self.rig.script = [(b"LACK", b"")]
        response = await self.request(self.rig.sign_target(CLIP))
        self.assertEqual(response.status, 503)
        self.assertEqual(response.headers["retry-after"], "1")

    async def test_a_failure_does_not_say_when_to_retry(self) -> None:
        self.rig.script = [(b"BROKE", b"")] * 9
        response = await self.request(self.rig.sign_target(ALERT), "POST", Idempotency_Key="k2")
        self.assertEqual(response.status, 502)
        self.assertNotIn("retry-after", response.headers)

    async def test_a_client_that_leaves_cancels(self) -> None:
        self.rig.script = [None]
        client = await self.rig.connect_client()
        next_attempt = self.rig.next_request()
        client.send_request(self.rig.sign_target(CLIP))
        await next_attempt
        client.transport.abortConnection()
        await self.until_cancelled()
        server, ident = self.rig.received_requests[0]
        server.send_answer(ident, b"DONE", b"late")
        self.assertEqual(len(self.rig.engine.requests), 0)
        self.assertEqual(self.rig.counters.counts["requests.films.abandoned"], 1)

    async def test_malformed_input_ends_its_connection_only(self) -> None:
        client = await self.rig.connect_client()
        client.transport.write(b"\x00\xff junk\r\n\r\n")
        (response,) = await client.wait_for_answers(1)
        self.assertEqual(response.status, 400)
        await client.connection_lost
        response = await self.request(self.rig.sign_target(CLIP))
        self.assertEqual(response.status, 200)

    async def test_ranges_of_an_object(self) -> None:
        part = await self.request(self.rig.sign_target(CLIP), Range="bytes=1-2")
        unsatisfiable = await self.request(self.rig.sign_target(CLIP), Range="bytes=9-")
        self.assertEqual(part.status, 206)
        self.assertEqual(part.body, b"av")
        self.assertEqual(part.headers["content-range"], "bytes 1-2/4")
        self.assertEqual(unsatisfiable.status, 416)
        self.assertEqual(unsatisfiable.headers["content-range"], "bytes */4")

    async def test_the_platforms_front_shares_the_core(self) -> None:
        client = await self.rig.connect_client(PortIndex.FASTCGI_FRONT, FastCgiClient)
        params = PARAMS | {"SCRIPT_NAME": "/do/films"}
        client.transport.write(asked(7, params, b"") + asked(9, {"SCRIPT_NAME": "/check"}, b""))
        await self.rig.wait_until(lambda: len(client.end_records()) == 2)
        self.assertEqual(client.output(7), b"Status: 200\r\n\r\nwave")
        self.assertEqual(client.output(9), b"Status: 200\r\n\r\n")
        self.rig.script = [None]
        next_attempt = self.rig.next_request()
        client.transport.write(asked(11, params, b""))
        await next_attempt
        client.transport.write(fastcgi.encode_record(fastcgi.RecordType.ABORT, 11, b""))
        await self.until_cancelled()
        self.assertEqual(len(client.end_records()), 2)
        client.transport.write(b"junk that is no record")
        await client.connection_lost
