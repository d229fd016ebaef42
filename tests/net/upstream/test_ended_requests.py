"""Attempts that wait for a connect while their request ends: none begins any more."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from fakes.clients import FastCgiClient
from twisted.internet.defer import inlineCallbacks

from tests.loopback import SETTINGS_HERE
from tests.net.upstream.pool_case import PoolTestCase
from tests.net.wire.test_codecs import PARAMS, asked
from thornjunction.net.wire import fastcgi

KEYED_PARAMS = PARAMS | {"SCRIPT_NAME": "/do/keyed", "HTTP_X_TXN_KEY": "0" * 32}

# Of the request that the client sends.
REQUEST_ID = 7


class EndedRequestTest(PoolTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.engine = self.rig.engine
        self.pool.report_to(self.engine)
        self.set_limits(connect_timeout_ms=9000.0)
        self.engine.feed(replace(SETTINGS_HERE, may_cancel=False))

    @inlineCallbacks
    def assert_not_begun_after(self, end_request: Callable[[FastCgiClient], None]) -> Any:
        """Nothing runs where a keyed request ends while its attempt waits for a connect to the origin."""
        listener = self.rig.deafen("origin")  # where keyed requests go straight
        executions = self.engine.router.executions.by_key
        client = yield self.rig.client(3, FastCgiClient)
        client.transport.write(asked(params=KEYED_PARAMS))
        origin = self.pool.upstreams["origin"]
        yield self.rig.until(lambda: origin.waiting and executions)
        end_request(client)
        yield self.rig.until(lambda: not origin.waiting)
        self.assertFalse(executions)
        self.assertEqual(len(self.engine.attempts), 0)
        listener.open()
        yield self.rig.until(lambda: len(self.pool.connections))
        self.pool.probe("origin")  # it is the first that comes on that connection
        yield self.rig.until(lambda: self.rig.heard)
        self.assertEqual(self.rig.heard[0][0], "busy")
        yield self.rig.part()

    @inlineCallbacks
    def test_client_aborts_its_request(self) -> Any:
        record = fastcgi.encode_record(fastcgi.RecordType.ABORT, REQUEST_ID, b"")
        yield self.assert_not_begun_after(lambda client: client.transport.write(record))

    @inlineCallbacks
    def test_client_closes_its_connection(self) -> Any:
        yield self.assert_not_begun_after(lambda client: client.transport.loseConnection())

    @inlineCallbacks
    def test_all_requests_are_answered_at_shutdown(self) -> Any:
        yield self.assert_not_begun_after(lambda _: self.engine.answer_all_now())

    @inlineCallbacks
    def test_request_passes_its_deadline(self) -> Any:
        yield self.assert_not_begun_after(
            lambda _: self.engine._backstop_due(next(iter(self.engine.requests)))
        )
