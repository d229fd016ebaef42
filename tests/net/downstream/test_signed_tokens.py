"""Admission of requests by tokens on the signed front, from request to response."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from tests.loopback import FILM_PATH, KEYED_PATH, TRUST
from tests.net.downstream.signed_front_case import SignedFrontTestCase
from thornjunction.signing.replay import ENTRY_BYTES, ReplayWindow

LARGE_BODY = b"w" * 240_000


class SignedTokensTest(SignedFrontTestCase):
    async def test_requests_that_are_not_admitted_never_reach_the_core(self) -> None:
        good = self.environment.issue_token(FILM_PATH)
        other = self.environment.issue_token(FILM_PATH.replace("/0", "/1"))
        status_by_target = {
            FILM_PATH: 401,
            f"{FILM_PATH}?URISigningPackage={good}&URISigningPackag%65={good}": 401,
            f"{FILM_PATH}?URISigningPackage={other}": 403,
            f"{FILM_PATH}?x=1&URISigningPackage={good}": 403,
        }
        for target, status in status_by_target.items():
            response = await self.request(target)
            assert response.status == status, target[:60]
            assert "retry-after" not in response.headers
        assert self.environment.received_commands == []
        assert dict(self.environment.counters.counts) == {}

    async def test_a_token_that_expires_during_a_request_admits_its_response_and_no_new_request(self) -> None:
        def expire() -> None:
            self.environment.unix_time_s += 100.0

        await self.check_token_invalidated_during_request(expire)

    async def test_a_token_whose_key_retires_during_a_request_admits_its_response_and_no_new_request(
        self,
    ) -> None:
        def remove_key() -> None:  # as the load of a new key set does
            keys = {kid: key for kid, key in TRUST.keys.items() if kid != "new"}
            self.environment.signed_context.trust = replace(TRUST, keys=keys)

        await self.check_token_invalidated_during_request(remove_key)

    async def check_token_invalidated_during_request(self, invalidate: Callable[[], None]) -> None:
        """Invalidate the token while its request is in flight at a server, then use it again."""
        self.environment.script = [None]
        client = await self.environment.connect_client()
        next_attempt = self.environment.next_request()
        target = self.environment.sign_target(FILM_PATH)
        client.send_request(target)
        await next_attempt
        invalidate()
        client.send_request(target)
        server, request_id = self.environment.received_requests[0]
        server.send_answer(request_id, b"DONE", LARGE_BODY)
        first, second = await client.wait_for_answers(2)
        assert first.status == 200
        assert len(first.body) == len(LARGE_BODY)
        assert second.status == 401
        await self.disconnect(client)
        assert len(self.environment.forwarded_requests()) == 1

    async def test_a_cookie_renews_a_token_and_is_accepted(self) -> None:
        response = await self.request(
            self.environment.sign_target(FILM_PATH, cdniets=30, cdnistt=1, cdnistd=2)
        )
        cookie = response.headers["set-cookie"]
        assert "; Path=/films/17; Max-Age=30;" in cookie
        self.environment.unix_time_s += 20.0
        response = await self.request(FILM_PATH, Cookie=cookie.partition(";")[0])
        assert response.status == 200
        self.environment.unix_time_s += 100.0
        response = await self.request(FILM_PATH, Cookie=cookie.partition(";")[0])
        assert response.status == 401

    async def test_a_rejected_retry_of_an_alert_sends_nothing_and_keeps_its_execution(self) -> None:
        self.environment.script = [None]
        target = self.environment.sign_target(KEYED_PATH)
        headers = {"X_Ttl_Ms": "60", "Idempotency_Key": "k3"}
        response = await self.request(target, "POST", **headers)
        assert response.status == 504
        for unsigned in (
            KEYED_PATH,
            f"{KEYED_PATH}?URISigningPackage={self.environment.issue_token(FILM_PATH)}",
        ):
            response = await self.request(unsigned, "POST", **headers)
            assert response.status in (401, 403)
            assert "retry-after" not in response.headers
        assert len(self.environment.forwarded_requests()) == 1
        self.end_deduplication_window()
        response = await self.request(target, "POST", **headers)
        assert response.status in (502, 504)
        assert len(self.environment.forwarded_requests()) == 1

    def end_deduplication_window(self) -> None:
        """Set the send times back, so that servers no longer deduplicate the first execution."""
        executions = self.environment.engine.router.state.executions.by_key  # type: ignore[attr-defined]
        for key_executions in executions.values():
            key_executions.sent = [
                replace(execution, sent_at_ms=execution.sent_at_ms - 10_000.0)
                for execution in key_executions.sent
            ]

    async def test_a_token_bound_to_an_address_admits_only_that_client(self) -> None:
        """RFC 9246 §2.1.10 on loopback, where the connection's peer is 127.0.0.1."""
        same_address = await self.request(self.environment.sign_target(FILM_PATH, cdniip="127.0.0.1"))
        other_address = await self.request(self.environment.sign_target(FILM_PATH, cdniip="192.0.2.9"))
        assert same_address.status == 200
        assert other_address.status == 403

    async def test_a_full_replay_window_rejects_and_says_when_to_retry(self) -> None:
        self.environment.signed_context.replay_window = ReplayWindow(
            cap_bytes=ENTRY_BYTES, slot_s=10.0, horizon_s=600.0
        )
        first = await self.request(self.environment.sign_target(FILM_PATH, jti="a"))
        repeated = await self.request(self.environment.sign_target(FILM_PATH, jti="a"))
        other = await self.request(self.environment.sign_target(FILM_PATH, jti="b"))
        assert first.status == 200
        assert repeated.status == 403
        assert other.status == 503
        assert int(other.headers["retry-after"]) >= 1

    async def test_a_forged_token_in_a_pipeline_affects_no_other_request(self) -> None:
        client = await self.environment.connect_client()
        good = self.environment.issue_token(FILM_PATH)
        forged = self.environment.issue_token(FILM_PATH)[:-4] + "AAAA"
        client.send_request(f"{FILM_PATH}?URISigningPackage={good}")
        client.send_request(f"{FILM_PATH}?URISigningPackage={forged}")
        client.send_request(f"/films/17/URISigningPackage={good}/7f3a9c21e0b4d655/0")
        statuses = [response.status for response in await client.wait_for_answers(3)]
        assert statuses == [200, 401, 200]
        await self.disconnect(client)
