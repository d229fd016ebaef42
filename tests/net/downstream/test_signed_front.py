"""The second front on loopback, from request to answer, over the real core."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from fakes.clients import FastCgiClient as FcgiClient
from twisted.internet.defer import inlineCallbacks
from twisted.trial.unittest import TestCase

from tests.loopback import ALERT, CLIP, TRUST, make_loopback_environment
from tests.net.wire.test_codecs import PARAMS, asked
from thornjunction.net.wire import fastcgi
from thornjunction.signing.replay import ENTRY_BYTES, ReplayWindow


class SignedFrontTest(TestCase):
    timeout = 20

    def setUp(self) -> None:
        self.rig = make_loopback_environment()
        self.addCleanup(self.rig.stop)

    def connect(self) -> Any:
        return self.rig.connect_client()

    @inlineCallbacks
    def ask(self, target: str, method: str = "GET", **headers: str) -> Any:
        client = yield self.connect()
        client.send_request(target, method, **headers)
        (response,) = yield client.wait_for_answers(1)
        client.transport.loseConnection()
        yield client.connection_lost
        self.assertEqual(len(client.responses), 1)
        return response

    @inlineCallbacks
    def test_signed_is_served_once(self) -> Any:
        response = yield self.ask(self.rig.sign_target(CLIP))
        self.assertEqual((response.status, response.body, response.headers["etag"]), (200, b"wave", '"t1"'))
        self.assertIn(
            b"profile=films,thing=7f3a9c21e0b4d655,nth=0", self.rig.forwarded_requests()[0].arguments[0]
        )

    @inlineCallbacks
    def test_what_is_not_admitted_never_reaches_the_core(self) -> Any:
        good, other = self.rig.issue_token(CLIP), self.rig.issue_token(CLIP.replace("/0", "/1"))
        bad = {
            CLIP: 401,
            f"{CLIP}?URISigningPackage={good}&URISigningPackag%65={good}": 401,
            f"{CLIP}?URISigningPackage={other}": 403,
            f"{CLIP}?x=1&URISigningPackage={good}": 403,
        }
        for target, status in bad.items():
            response = yield self.ask(target)
            self.assertEqual(response.status, status, target[:60])
            self.assertNotIn("retry-after", response.headers)
        self.assertEqual((self.rig.received_commands, dict(self.rig.counters.counts)), ([], {}))

    @inlineCallbacks
    def test_a_token_that_expires_or_whose_key_retires_midway_admits_its_answer_and_nothing_new(self) -> Any:
        retired = replace(TRUST, keys={kid: key for kid, key in TRUST.keys.items() if kid != "new"})
        expire = lambda: setattr(self.rig, "unix_time_s", self.rig.unix_time_s + 100.0)  # noqa: E731
        retire = lambda: setattr(self.rig.signed_context, "trust", retired)  # noqa: E731  # as a new key set would
        for spoil in (expire, retire):
            self.rig.script, self.rig.received_requests, self.rig.signed_context.trust = [None], [], TRUST
            client, wanted = (yield self.connect()), self.rig.next_request()
            target = self.rig.sign_target(CLIP)
            client.send_request(target)
            yield wanted
            spoil()
            client.send_request(target)
            link, ident = self.rig.received_requests[0]
            link.send_answer(ident, b"DONE", b"w" * 240_000)
            first, second = yield client.wait_for_answers(2)
            self.assertEqual((first.status, len(first.body), second.status), (200, 240_000, 401))
            client.transport.loseConnection()
            yield client.connection_lost
        self.assertEqual(len(self.rig.forwarded_requests()), 2)

    @inlineCallbacks
    def test_a_cookie_renews_and_is_taken(self) -> Any:
        response = yield self.ask(self.rig.sign_target(CLIP, cdniets=30, cdnistt=1, cdnistd=2))
        cookie = response.headers["set-cookie"]
        self.assertIn("; Path=/films/17; Max-Age=30;", cookie)
        self.rig.unix_time_s += 20.0
        response = yield self.ask(CLIP, Cookie=cookie.partition(";")[0])
        self.assertEqual(response.status, 200)
        self.rig.unix_time_s += 100.0
        response = yield self.ask(CLIP, Cookie=cookie.partition(";")[0])
        self.assertEqual(response.status, 401)

    @inlineCallbacks
    def test_a_deadline_is_a_504_and_the_attempt_is_called_off(self) -> Any:
        self.rig.script = [None] * 9
        response = yield self.ask(self.rig.sign_target(ALERT), "POST", X_Ttl_Ms="80", Idempotency_Key="k1")
        self.assertEqual(response.status, 504)
        yield self.rig.wait_until(
            lambda: any(command.verb == "never_mind" for command in self.rig.received_commands)
        )

    @inlineCallbacks
    def test_a_refusal_says_when_to_come_back_and_a_failure_does_not(self) -> Any:
        self.rig.script = [(b"LACK", b"")]
        response = yield self.ask(self.rig.sign_target(CLIP))
        self.assertEqual((response.status, response.headers["retry-after"]), (503, "1"))
        self.rig.script = [(b"BROKE", b"")] * 9
        response = yield self.ask(self.rig.sign_target(ALERT), "POST", Idempotency_Key="k2")
        self.assertEqual(response.status, 502)
        self.assertNotIn("retry-after", response.headers)

    @inlineCallbacks
    def test_a_client_that_leaves_cancels(self) -> Any:
        self.rig.script = [None]
        client, wanted = (yield self.connect()), self.rig.next_request()
        client.send_request(self.rig.sign_target(CLIP))
        yield wanted
        client.transport.abortConnection()
        yield self.rig.wait_until(
            lambda: any(command.verb == "never_mind" for command in self.rig.received_commands)
        )
        link, ident = self.rig.received_requests[0]
        link.send_answer(ident, b"DONE", b"late")
        self.assertEqual(len(self.rig.engine.requests), 0)
        self.assertEqual(self.rig.counters.counts["requests.films.abandoned"], 1)

    @inlineCallbacks
    def test_a_rejected_try_of_an_alert_sends_nothing_and_forgets_nothing(self) -> Any:
        self.rig.script = [None]
        target, how = self.rig.sign_target(ALERT), {"X_Ttl_Ms": "60", "Idempotency_Key": "k3"}
        response = yield self.ask(target, "POST", **how)
        self.assertEqual(response.status, 504)
        for unsigned in (ALERT, f"{ALERT}?URISigningPackage={self.rig.issue_token(CLIP)}"):
            response = yield self.ask(unsigned, "POST", **how)
            self.assertIn(response.status, (401, 403))
            self.assertNotIn("retry-after", response.headers)
        self.assertEqual(len(self.rig.forwarded_requests()), 1)
        executions = self.rig.engine.router.state.executions.by_key
        for key, ran in list(executions.items()):
            executions[key] = replace(
                ran, sent_at_ms=ran.sent_at_ms - 10_000.0
            )  # the archive has forgotten the first try by now
        response = yield self.ask(target, "POST", **how)
        self.assertIn(response.status, (502, 504))
        self.assertEqual(len(self.rig.forwarded_requests()), 1)

    @inlineCallbacks
    def test_malformed_input_ends_its_connection_only(self) -> Any:
        client = yield self.connect()
        client.transport.write(b"\x00\xff junk\r\n\r\n")
        (response,) = yield client.wait_for_answers(1)
        self.assertEqual(response.status, 400)
        yield client.connection_lost
        response = yield self.ask(self.rig.sign_target(CLIP))
        self.assertEqual(response.status, 200)

    @inlineCallbacks
    def test_pipelined_requests_are_answered_in_order_and_a_forged_second_spoils_nothing(self) -> Any:
        client = yield self.connect()
        good, forged = self.rig.issue_token(CLIP), self.rig.issue_token(CLIP)[:-4] + "AAAA"
        client.send_request(f"{CLIP}?URISigningPackage={good}")
        client.send_request(f"{CLIP}?URISigningPackage={forged}")
        client.send_request(f"/films/17/URISigningPackage={good}/7f3a9c21e0b4d655/0")
        statuses = [response.status for response in (yield client.wait_for_answers(3))]
        self.assertEqual(statuses, [200, 401, 200])
        client.transport.loseConnection()
        yield client.connection_lost

    @inlineCallbacks
    def test_ranges_of_a_clip(self) -> Any:
        part = yield self.ask(self.rig.sign_target(CLIP), Range="bytes=1-2")
        none = yield self.ask(self.rig.sign_target(CLIP), Range="bytes=9-")
        self.assertEqual((part.status, part.body, part.headers["content-range"]), (206, b"av", "bytes 1-2/4"))
        self.assertEqual((none.status, none.headers["content-range"]), (416, "bytes */4"))

    @inlineCallbacks
    def test_a_token_bound_to_an_address_admits_that_client_alone(self) -> Any:
        """RFC 9246 §2.1.10 over loopback: the connection's peer is 127.0.0.1."""
        here = yield self.ask(self.rig.sign_target(CLIP, cdniip="127.0.0.1"))
        there = yield self.ask(self.rig.sign_target(CLIP, cdniip="192.0.2.9"))
        self.assertEqual((here.status, there.status), (200, 403))

    @inlineCallbacks
    def test_a_full_replay_window_refuses_and_says_when_to_come_back(self) -> Any:
        self.rig.signed_context.replays = ReplayWindow(cap_bytes=ENTRY_BYTES, slot_s=10.0, horizon_s=600.0)
        first = yield self.ask(self.rig.sign_target(CLIP, jti="a"))
        again = yield self.ask(self.rig.sign_target(CLIP, jti="a"))
        other = yield self.ask(self.rig.sign_target(CLIP, jti="b"))
        self.assertEqual((first.status, again.status, other.status), (200, 403, 503))
        self.assertGreaterEqual(int(other.headers["retry-after"]), 1)

    @inlineCallbacks
    def test_the_platforms_front_shares_the_core(self) -> Any:
        client = yield self.rig.connect_client(3, FcgiClient)
        params = PARAMS | {"SCRIPT_NAME": "/do/films"}
        client.transport.write(asked(7, params, b"") + asked(9, {"SCRIPT_NAME": "/check"}, b""))
        yield self.rig.wait_until(lambda: len(client.end_records()) == 2)
        self.assertEqual(client.output(7), b"Status: 200\r\n\r\nwave")
        self.assertEqual(client.output(9), b"Status: 200\r\n\r\n")
        self.rig.script, wanted = [None], self.rig.next_request()
        client.transport.write(asked(11, params, b""))
        yield wanted
        client.transport.write(fastcgi.encode_record(fastcgi.RecordType.ABORT, 11, b""))
        yield self.rig.wait_until(
            lambda: any(command.verb == "never_mind" for command in self.rig.received_commands)
        )
        self.assertEqual(len(client.end_records()), 2)
        client.transport.write(b"junk that is no record")
        yield client.connection_lost
