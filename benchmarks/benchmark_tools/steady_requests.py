"""Sends requests at a steady rate on one connection to the platform's front, on Twisted."""

from __future__ import annotations

import time
from typing import Any

from fakes.clients import FastCgiClient, encode_fastcgi_request
from fakes.event_loop import Steps, reactor
from twisted.internet import task
from twisted.internet.defer import inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError

from thornjunction.net.event_loop.transport import BuildFactory

# FastCGI request ids start again at 1 after this one.
MAX_REQUEST_ID = 60_000
CONNECT_PAUSE_S = 0.02
MAX_CONNECT_ATTEMPTS = 500


class NeverListenedError(RuntimeError):
    """The router did not listen within ``MAX_CONNECT_ATTEMPTS`` connection attempts."""

    def __init__(self, address: str) -> None:
        super().__init__(f"no router listens at {address}")


class SteadyRequests:
    """Sends a request at each interval; ``latencies`` holds when each was sent and the time to its end."""

    def __init__(self, client: FastCgiClient, interval_s: float) -> None:
        self.latencies: list[tuple[float, float]] = []
        self.sent_count = 0
        self._client = client
        self._sent_s: dict[int, float] = {}
        client._notify_waiters = self._record_latencies  # type: ignore[method-assign]
        self._sending = task.LoopingCall(self._send_request)
        self._sending.start(interval_s)

    def _send_request(self) -> None:
        request_id = self.sent_count % MAX_REQUEST_ID + 1
        self.sent_count += 1
        params = {
            "SCRIPT_NAME": "/do/clips",
            "HTTP_X_ROW": f"{request_id:016x}",
            "HTTP_X_TTL_MS": "3000",
            "HTTP_X_TXN": f"{request_id:016x}",
            "HTTP_X_WORKING_SET_KB": "12",
        }
        self._sent_s[request_id] = time.monotonic()
        self._client.transport.write(encode_fastcgi_request(request_id, params))

    def _record_latencies(self) -> None:
        """Record the latencies of ended requests, instead of notifying waiters, and discard all records."""
        for record in self._client.end_records():
            sent_s = self._sent_s[record.request_id]
            self.latencies.append((sent_s, time.monotonic() - sent_s))
        self._client.records.clear()

    def latencies_between(self, begin_s: float, end_s: float) -> list[float]:
        """Return the latencies of the requests sent from ``begin_s`` until before ``end_s``."""
        return [latency_s for sent_s, latency_s in self.latencies if begin_s <= sent_s < end_s]

    def stop(self) -> None:
        """Send no further requests."""
        self._sending.stop()

    def disconnect(self) -> None:
        """Close the connection."""
        self._client.transport.loseConnection()


@inlineCallbacks
def connect_steady_requests(address: str, interval_s: float) -> Steps[SteadyRequests]:
    """Connect once the router listens, and start to send.  Raises NeverListenedError."""
    host, _, port = address.rpartition(":")
    for _ in range(MAX_CONNECT_ATTEMPTS):
        endpoint: Any = TCP4ClientEndpoint(reactor, host, int(port))
        try:
            client = yield endpoint.connect(BuildFactory(FastCgiClient))
        except ConnectError:
            yield pause(CONNECT_PAUSE_S)
        else:
            return SteadyRequests(client, interval_s)
    raise NeverListenedError(address)


def pause(seconds: float) -> Any:
    """Return a Deferred that fires after ``seconds``."""
    return task.deferLater(reactor, seconds, lambda: None)
