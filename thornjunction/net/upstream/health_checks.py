"""Health checks: streams that ask a server whether it can serve requests, each with a timeout."""

from __future__ import annotations

from collections.abc import Mapping

from thornjunction import interface as api
from thornjunction.net.upstream.context import PoolContext
from thornjunction.net.upstream.dispatcher import Dispatcher
from thornjunction.net.upstream.outcomes import OutcomeReporter
from thornjunction.net.upstream.streams import Stream
from thornjunction.net.upstream.upstream import Upstream


class HealthChecks:
    """Sends health checks and ends those that get no response in time.

    Args:
        context: shared objects of the pool's parts.
        upstreams: the servers of the endpoint list, by name.
        dispatcher: sends the streams.
        outcomes: reports the checks that timed out.
    """

    def __init__(
        self,
        context: PoolContext,
        upstreams: Mapping[str, Upstream],
        dispatcher: Dispatcher,
        outcomes: OutcomeReporter,
    ) -> None:
        self._context = context
        self._upstreams = upstreams
        self._dispatcher = dispatcher
        self._outcomes = outcomes
        self._checks_sent = 0

    def send(self, server: str) -> None:
        """Send a health check; the connect timeout covers the connect and the response."""
        self._checks_sent += 1
        stream = Stream(server, f"probe-{self._checks_sent}", None, self._context.clock())
        due_ms = stream.accepted_ms + self._context.limits.connect_timeout_ms
        stream.timeout = self._context.deadlines.add(due_ms, lambda: self._time_out(stream))
        self._dispatcher.dispatch(stream)

    def _time_out(self, stream: Stream) -> None:
        upstream = self._upstreams.get(stream.server)
        if upstream is not None:
            upstream.withdraw(stream)
            upstream.cancel(stream)
        self._outcomes.report(stream, api.AttemptStatus.TIMEOUT)
