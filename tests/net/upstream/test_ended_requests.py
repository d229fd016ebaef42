"""Attempts that wait for a connect while their request ends, after which none may start."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from fakes.clients import FastCgiClient
from fakes.loopback_environment import PortIndex
from twisted.internet.defer import inlineCallbacks

from tests.loopback import LOOPBACK_SETTINGS
from tests.net.upstream.pool_case import PoolTestCase
from tests.net.wire.builders import PARAMS, encoded_fastcgi_request
from thornjunction.net.wire import fastcgi

KEYED_PARAMS = PARAMS | {"SCRIPT_NAME": "/do/keyed", "HTTP_X_TXN_KEY": "0" * 32}

# The FastCGI id of the request that the client sends.
REQUEST_ID = 7


class EndedRequestTest(PoolTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.engine = self.environment.engine
        self.pool.report_to(self.engine)
        self.set_limits(connect_timeout_ms=9000.0)
        self.engine.feed(replace(LOOPBACK_SETTINGS, may_cancel=False))

    @inlineCallbacks
    def assert_not_started_after(self, end_request: Callable[[FastCgiClient], None]) -> Any:
        """Check that no attempt starts if a keyed request ends while its attempt waits for a connect."""
        listener = self.environment.make_unresponsive("origin")  # keyed requests are sent only to the origin
        executions = self.engine.router.state.executions.by_key
        client = yield self.environment.connect_client(PortIndex.FASTCGI_FRONT, FastCgiClient)
        client.transport.write(encoded_fastcgi_request(params=KEYED_PARAMS))
        origin = self.pool.upstreams["origin"]
        yield self.environment.wait_until(lambda: origin.waiting and executions)
        end_request(client)
        yield self.environment.wait_until(lambda: not origin.waiting)
        assert not executions
        assert len(self.engine.attempts) == 0
        listener.start_accepting()
        yield self.environment.wait_until(lambda: len(self.pool.connections))
        self.pool.probe("origin")  # it must be the first command on that connection
        yield self.environment.wait_until(lambda: self.environment.received_commands)
        assert self.environment.received_commands[0].verb == "busy"
        yield self.environment.close_upstream_connections()

    @inlineCallbacks
    def test_client_aborts_its_request(self) -> Any:
        record = fastcgi.encode_record(fastcgi.RecordType.ABORT, REQUEST_ID, b"")
        yield self.assert_not_started_after(lambda client: client.transport.write(record))

    @inlineCallbacks
    def test_client_closes_its_connection(self) -> Any:
        yield self.assert_not_started_after(lambda client: client.transport.loseConnection())

    @inlineCallbacks
    def test_all_requests_are_answered_at_shutdown(self) -> Any:
        yield self.assert_not_started_after(lambda _: self.engine.answer_all_now())

    @inlineCallbacks
    def test_request_passes_its_deadline(self) -> Any:
        yield self.assert_not_started_after(
            lambda _: self.engine._backstop_due(next(iter(self.engine.requests)))
        )
