"""Requests and responses of the signed front, and of the platform's front on the same core."""

from __future__ import annotations

from fakes.clients import FastCgiClient
from fakes.loopback_environment import PortIndex

from tests.loopback import FILM_PATH, KEYED_PATH
from tests.net.downstream.signed_front_case import SignedFrontTestCase
from tests.net.wire.builders import PARAMS, encoded_fastcgi_request
from thornjunction.net.wire import fastcgi


class SignedFrontTest(SignedFrontTestCase):
    async def test_a_signed_request_is_served_once(self) -> None:
        response = await self.request(self.environment.sign_target(FILM_PATH))
        assert response.status == 200
        assert response.body == b"wave"
        assert response.headers["etag"] == '"t1"'
        assert (
            b"profile=films,thing=7f3a9c21e0b4d655,nth=0"
            in self.environment.forwarded_requests()[0].arguments[0]
        )

    async def test_a_missed_deadline_is_a_504_and_the_attempt_is_cancelled(self) -> None:
        self.environment.script = [None] * 9
        response = await self.request(
            self.environment.sign_target(KEYED_PATH), "POST", X_Ttl_Ms="80", Idempotency_Key="k1"
        )
        assert response.status == 504
        await self.wait_until_cancelled()

    async def test_a_rejection_says_when_to_retry(self) -> None:
        self.environment.script = [(b"LACK", b"")]
        response = await self.request(self.environment.sign_target(FILM_PATH))
        assert response.status == 503
        assert response.headers["retry-after"] == "1"

    async def test_a_failure_does_not_say_when_to_retry(self) -> None:
        self.environment.script = [(b"BROKE", b"")] * 9
        response = await self.request(self.environment.sign_target(KEYED_PATH), "POST", Idempotency_Key="k2")
        assert response.status == 502
        assert "retry-after" not in response.headers

    async def test_a_client_disconnect_cancels_its_attempt(self) -> None:
        self.environment.script = [None]
        client = await self.environment.connect_client()
        next_attempt = self.environment.next_request()
        client.send_request(self.environment.sign_target(FILM_PATH))
        await next_attempt
        client.transport.abortConnection()
        await self.wait_until_cancelled()
        server, request_id = self.environment.received_requests[0]
        server.send_answer(request_id, b"DONE", b"late")
        assert len(self.environment.engine.requests) == 0
        assert self.environment.counters.counts["requests.films.abandoned"] == 1

    async def test_malformed_input_ends_only_its_connection(self) -> None:
        client = await self.environment.connect_client()
        client.transport.write(b"\x00\xff junk\r\n\r\n")
        (response,) = await client.wait_for_answers(1)
        assert response.status == 400
        await client.connection_lost
        response = await self.request(self.environment.sign_target(FILM_PATH))
        assert response.status == 200

    async def test_ranges_of_an_object(self) -> None:
        part = await self.request(self.environment.sign_target(FILM_PATH), Range="bytes=1-2")
        unsatisfiable = await self.request(self.environment.sign_target(FILM_PATH), Range="bytes=9-")
        assert part.status == 206
        assert part.body == b"av"
        assert part.headers["content-range"] == "bytes 1-2/4"
        assert unsatisfiable.status == 416
        assert unsatisfiable.headers["content-range"] == "bytes */4"

    async def test_the_platforms_front_shares_the_core(self) -> None:
        client = await self.environment.connect_client(PortIndex.FASTCGI_FRONT, FastCgiClient)
        params = PARAMS | {"SCRIPT_NAME": "/do/films"}
        client.transport.write(
            encoded_fastcgi_request(7, params, b"")
            + encoded_fastcgi_request(9, {"SCRIPT_NAME": "/check"}, b"")
        )
        await self.environment.wait_until(lambda: len(client.end_records()) == 2)
        assert client.output(7) == b"Status: 200\r\n\r\nwave"
        assert client.output(9) == b"Status: 200\r\n\r\n"
        self.environment.script = [None]
        next_attempt = self.environment.next_request()
        client.transport.write(encoded_fastcgi_request(11, params, b""))
        await next_attempt
        client.transport.write(fastcgi.encode_record(fastcgi.RecordType.ABORT, 11, b""))
        await self.wait_until_cancelled()
        assert len(client.end_records()) == 2
        client.transport.write(b"junk that is no record")
        await client.connection_lost
