"""Requests at a steady pace on one connection of the platform's front, on Twisted."""

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

# FastCGI request ids are used in turn.
MAX_REQUEST_ID = 60_000
CONNECT_PAUSE_S = 0.02
MAX_CONNECTS = 500


class NeverListenedError(RuntimeError):
    """The router did not listen in time."""

    def __init__(self, address: str) -> None:
        super().__init__(f"nobody listens at {address}")


class SteadyRequests:
    """Sends a request at each interval; ``latencies`` has when each was sent and the time to its end."""

    def __init__(self, client: FastCgiClient, interval_s: float) -> None:
        self.latencies: list[tuple[float, float]] = []
        self.sent_count = 0
        self._client = client
        self._sent_s: dict[int, float] = {}
        client._notify_waiters = self._take_ends  # type: ignore[method-assign]
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

    def _take_ends(self) -> None:
        """Record the ends that have come, in place of the client's own waiters, and drop all records."""
        for record in self._client.end_records():
            sent_s = self._sent_s[record.request_id]
            self.latencies.append((sent_s, time.monotonic() - sent_s))
        self._client.records.clear()

    def latencies_between(self, begin_s: float, end_s: float) -> list[float]:
        """The latencies of the requests that were sent in a span of time."""
        return [latency_s for sent_s, latency_s in self.latencies if begin_s <= sent_s < end_s]

    def stop(self) -> None:
        """Send no further requests."""
        self._sending.stop()

    def disconnect(self) -> None:
        """Close the connection."""
        self._client.transport.loseConnection()


@inlineCallbacks
def connect_steady_requests(address: str, interval_s: float) -> Steps[SteadyRequests]:
    """Begin to send as soon as the router listens.  Raises NeverListenedError."""
    host, _, port = address.rpartition(":")
    for _ in range(MAX_CONNECTS):
        endpoint: Any = TCP4ClientEndpoint(reactor, host, int(port))
        try:
            client = yield endpoint.connect(BuildFactory(FastCgiClient))
        except ConnectError:
            yield pause(CONNECT_PAUSE_S)
        else:
            return SteadyRequests(client, interval_s)
    raise NeverListenedError(address)


def pause(seconds: float) -> Any:
    """Return a Deferred that fires after so many seconds."""
    return task.deferLater(reactor, seconds, lambda: None)
