"""The pool of connections to cache servers, parents and the origin, assembled from its parts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from thornjunction import interface as api
from thornjunction.core.ports import UpstreamRequest
from thornjunction.memory.budget import ByteBudget
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.event_loop.ports import Reactor
from thornjunction.net.upstream.connection import UpstreamConnection
from thornjunction.net.upstream.connection_table import ConnectionTable
from thornjunction.net.upstream.context import PoolContext, PoolLimits
from thornjunction.net.upstream.dispatcher import Dispatcher
from thornjunction.net.upstream.health_checks import HealthChecks
from thornjunction.net.upstream.outcomes import OutcomeListener, OutcomeReporter
from thornjunction.net.upstream.streams import Stream
from thornjunction.net.upstream.upstream import Upstream
from thornjunction.net.wire.commands import Host


class ConnectionPool:
    """Sends attempts and health checks, and reports the outcome of each to its listener once.

    Args:
        reactor: opens connections.
        limits: the limits of the pool.
        deadlines: the process's queue of deadlines.
        clock: the core's clock, in ms.
        buffer_budget: bounds the bytes of incomplete responses.

    Attributes:
        context: the objects that all parts of the pool share.
        connections: the table of all connections.
        upstreams: the servers of the endpoint list, by name.
    """

    def __init__(
        self,
        reactor: Reactor,
        limits: PoolLimits,
        deadlines: Deadlines,
        clock: Callable[[], float],
        buffer_budget: ByteBudget,
    ) -> None:
        self.context = PoolContext(reactor, limits, deadlines, clock, buffer_budget)
        self.connections: ConnectionTable[UpstreamConnection] = ConnectionTable(limits.max_connections)
        self.upstreams: dict[str, Upstream] = {}
        self._outcomes = OutcomeReporter(self.context)
        self._dispatcher = Dispatcher(self.context, self.upstreams, self.connections, self._outcomes)
        self._health_checks = HealthChecks(self.context, self.upstreams, self._dispatcher, self._outcomes)

    @property
    def attempts_written(self) -> int:
        """The number of attempts written to servers since the start."""
        return self._dispatcher.attempts_written

    def report_to(self, listener: OutcomeListener) -> None:
        """Report outcomes to this listener from now on."""
        self._outcomes.listener = listener

    def update(self, hosts: tuple[Host, ...], is_complete: bool) -> None:
        """Apply a change of the endpoint list, or a complete list.

        A server at a new address gets new connections.  A server that drains or was removed gets no new
        streams, and streams that wait for a connection to it end without being started.
        """
        ended: list[Stream] = []
        if is_complete:
            for server in set(self.upstreams) - {host.name for host in hosts}:
                ended += self._remove(server)
        for host in hosts:
            ended += self._apply(host)
        # Reported after the complete change is applied, because a retry may go to another of its servers.
        for stream in ended:
            self._outcomes.report(stream, api.AttemptStatus.NOT_STARTED)

    def _apply(self, host: Host) -> list[Stream]:
        """Apply the state of one server; return the waiting streams that must not be started there."""
        upstream = self.upstreams.get(host.name)
        if host.state is api.ServerState.REMOVED:
            return self._remove(host.name)
        if upstream is None:
            self.upstreams[host.name] = Upstream(host)
            return []
        return self._change(upstream, host)

    def _change(self, upstream: Upstream, host: Host) -> list[Stream]:
        ended: list[Stream] = []
        if host.address is None:
            host = replace(host, address=upstream.host.address)
        elif host.address != upstream.host.address:
            ended += self._take_out_of_service(upstream)
        upstream.host = host
        if host.state is api.ServerState.DRAINING:
            ended += self._dispatcher.cancel_waiting(upstream)
            for connection in upstream.connections:
                connection.limit_stalled_write()
        return ended

    def _remove(self, server: str) -> list[Stream]:
        upstream = self.upstreams.pop(server, None)
        return self._take_out_of_service(upstream) if upstream is not None else []

    def _take_out_of_service(self, upstream: Upstream) -> list[Stream]:
        upstream.retire_connections()
        return self._dispatcher.cancel_waiting(upstream)

    def send(self, request: UpstreamRequest) -> None:
        """Send an attempt, or queue it until a connection has capacity."""
        fetch = request.fetch
        now_ms = self.context.clock()
        stream_id = request.client_request.transaction_id
        start_by_ms = now_ms + fetch.start_within_ms
        self._dispatcher.dispatch(Stream(fetch.server, stream_id, request, now_ms, start_by_ms))

    def withdraw(self, number: int) -> bool:
        """Remove an attempt that still waits for a connection; return False if it may have been started."""
        stream = self._outcomes.find_attempt(number)
        if stream is None or stream.target is None or not stream.target.withdraw(stream):
            return False
        self._outcomes.remove_attempt(number)
        self.context.deadlines.cancel(stream.start_deadline)
        return True

    def cancel(self, number: int) -> None:
        """Cancel an attempt; its outcome is not reported."""
        stream = self._outcomes.find_attempt(number)
        if stream is None or self.withdraw(number):
            return
        self._outcomes.remove_attempt(number)
        if stream.target is not None:
            stream.target.cancel(stream)

    def probe(self, server: str) -> None:
        """Send a health check to a server; the listener's ``probe_ended`` receives its outcome."""
        self._health_checks.send(server)
