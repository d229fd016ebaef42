"""A small steady load on full routers, which shows how the control plane affects the latency of requests."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from fakes.raw_socket import encode_request
from twisted.internet import protocol
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint

from fleet_scale.line_fit import quantile
from fleet_scale.messages import LoadFigures
from thornjunction.net.event_loop.ports import Reactor, Transport
from thornjunction.net.event_loop.transport import BuildFactory
from thornjunction.net.wire import fastcgi
from thornjunction.runtime.addresses import Address

REQUEST_CLASS = "clips"
REQUEST_TIMEOUT_MS = 2000
CONNECT_TIMEOUT_S = 5
# Pause before the next connect to a router that does not listen yet.
RECONNECT_PAUSE_S = 0.1
# Limit on the number of latencies that are kept.
MAX_LATENCIES = 100_000
# FastCGI request ids run from 1 to this and start again.
MAX_REQUEST_ID = 60_000
# Bytes kept from the start of an answer, and how many of them hold the status.
KEPT_ANSWER_BYTES = 16
STATUS_BYTES = len(b"Status: 200")
SERVED_STATUS = "Status: 200"
# The status under which requests are counted whose connection ended before the answer.
LOST_STATUS = "lost"


@dataclass(slots=True)
class SentRequest:
    """A request whose answer is incomplete: when it was sent, and the first bytes of the answer."""

    sent_s: float
    answer_prefix: bytes = b""


class LoadConnection(protocol.Protocol):
    """One connection to one router, with several requests in flight."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, load: RequestLoad, front: Address) -> None:
        self.unanswered: dict[int, SentRequest] = {}
        self._load = load
        self._front = front
        self._reader = fastcgi.RecordReader()
        self._last_request_id = 0

    def connectionMade(self) -> None:  # noqa: N802
        """Register with the load."""
        self.transport.setTcpNoDelay(True)
        self._load.connected(self)

    def send_request(self) -> None:
        """Send the next request on this connection."""
        self._last_request_id = self._last_request_id % MAX_REQUEST_ID + 1
        self.unanswered[self._last_request_id] = SentRequest(time.monotonic())
        self.transport.write(encode_request(self._last_request_id, REQUEST_CLASS, ttl_ms=REQUEST_TIMEOUT_MS))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse answers, and report each one that is complete."""
        for record in self._reader.feed(data):
            request = self.unanswered.get(record.request_id, SentRequest(0.0))
            if record.kind == fastcgi.RecordType.STDOUT and len(request.answer_prefix) < KEPT_ANSWER_BYTES:
                request.answer_prefix += record.content[:KEPT_ANSWER_BYTES]
            elif record.kind == fastcgi.RecordType.END:
                del self.unanswered[record.request_id]
                self._load.answered(request)

    def connectionLost(self, reason: object = None) -> None:  # noqa: ARG002, N802
        """Deregister from the load, which connects again."""
        self._load.disconnected(self, self._front)


class RequestLoad:
    """Sends requests to each router at a fixed rate and counts answers by status."""

    def __init__(self, reactor: Reactor, fronts: Sequence[Address], requests_per_s: float) -> None:
        self.requests_per_s = requests_per_s
        self._reactor = reactor
        self._connections: list[LoadConnection] = []
        self._answers_by_status = Counter[str]()
        self._sent = 0
        self._latencies_ms: list[float] = []
        for front in fronts:
            self._connect(front)
        self._send_requests()

    def _connect(self, front: Address) -> None:
        """Connect to a router, and retry until it listens."""
        endpoint: Any = TCP4ClientEndpoint(self._reactor, front.host, front.port, timeout=CONNECT_TIMEOUT_S)
        connecting: Deferred[Any] = endpoint.connect(BuildFactory(lambda: LoadConnection(self, front)))
        connecting.addErrback(lambda _: self._reactor.callLater(RECONNECT_PAUSE_S, self._connect, front))

    def connected(self, connection: LoadConnection) -> None:
        """Include a connection in the load."""
        self._connections.append(connection)

    def disconnected(self, connection: LoadConnection, front: Address) -> None:
        """Count the unanswered requests of a connection as lost, and connect again."""
        self._connections.remove(connection)
        self._answers_by_status[LOST_STATUS] += len(connection.unanswered)
        self._connect(front)

    def _send_requests(self) -> None:
        if self.requests_per_s > 0:
            for connection in self._connections:
                connection.send_request()
                self._sent += 1
        pause_s = 1.0 / self.requests_per_s if self.requests_per_s > 0 else RECONNECT_PAUSE_S
        self._reactor.callLater(pause_s, self._send_requests)

    def answered(self, request: SentRequest) -> None:
        """Count an answer by its status and record its latency."""
        status = request.answer_prefix[:STATUS_BYTES].decode("latin-1")
        self._answers_by_status[status] += 1
        if len(self._latencies_ms) < MAX_LATENCIES:
            self._latencies_ms.append((time.monotonic() - request.sent_s) * 1000.0)

    def clear_latencies(self) -> None:
        """Discard the latencies that were measured so far."""
        self._latencies_ms.clear()

    def figures(self) -> LoadFigures:
        """Return the counts of requests and quantiles of their latencies."""
        latencies_ms = self._latencies_ms
        return LoadFigures(
            sent=self._sent,
            served=self._answers_by_status[SERVED_STATUS],
            unanswered=sum(len(connection.unanswered) for connection in self._connections),
            connected=len(self._connections),
            answers_by_status=dict(self._answers_by_status),
            p50_ms=quantile(latencies_ms, 0.5) if latencies_ms else None,
            p99_ms=quantile(latencies_ms, 0.99) if latencies_ms else None,
        )
