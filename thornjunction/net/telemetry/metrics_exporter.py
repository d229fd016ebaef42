"""Sends the counters to Graphite and collectd at a fixed pace; what can't be sent now is let go."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from typing import Any

from twisted.internet import protocol
from twisted.internet.interfaces import IPushProducer
from twisted.python.failure import Failure
from zope.interface import implementer  # type: ignore[import-untyped]

from thornjunction.core.counters import Counters, CountersSnapshot
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.event_loop.disconnect_reasons import disconnect_reason, log_disconnect
from thornjunction.net.event_loop.ports import Transport
from thornjunction.net.event_loop.transport import connect_by_deadline
from thornjunction.net.wire import collectd, graphite

DIAL_MS = 1000.0


def samples_of(snapshot: CountersSnapshot) -> list[graphite.Sample]:
    """Counts since the start; mean and greatest latency of the interval."""
    samples = [
        graphite.Sample(f"{name}.count", value, counter=True) for name, value in snapshot.counts.items()
    ]
    for name, latency in snapshot.latencies.items():
        samples.append(graphite.Sample(f"{name}.mean_ms", latency.total_ms / latency.count))
        samples.append(graphite.Sample(f"{name}.max_ms", latency.max_ms))
    return samples


@implementer(IPushProducer)
class GraphiteConnection(protocol.Protocol):
    """One connection; while its buffer is full, figures are dropped."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, lost: Callable[[], None]) -> None:
        self.lost, self.full = lost, False

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.registerProducer(self, True)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        log_disconnect("graphite", None, disconnect_reason(reason))
        self.lost()

    def send(self, data: bytes) -> None:
        if not self.full:
            self.transport.write(data)

    def pauseProducing(self) -> None:  # noqa: N802
        self.full = True

    def resumeProducing(self) -> None:  # noqa: N802
        self.full = False

    def stopProducing(self) -> None:  # noqa: N802
        self.full = True


class MetricsExporter:
    """Takes the counters' figures each interval."""

    def __init__(
        self,
        reactor: Any,
        deadlines: Deadlines,
        clock: Callable[[], float],
        unix_s: Callable[[], float],
        counters: Counters,
        name: str,
        interval_s: float,
    ) -> None:
        self.reactor, self.deadlines, self.clock, self.unix_s = reactor, deadlines, clock, unix_s
        self.counters, self.name, self.interval_s = counters, name, interval_s
        self._graphite: tuple[str, int] | None = None
        self._prefix = ""
        self._collectd: tuple[str, int] | None = None
        self._udp: Any = None
        self._link: GraphiteConnection | None = None
        self._dialling = False

    def to_graphite(self, address: tuple[str, int], prefix: str) -> None:
        self._graphite, self._prefix = address, prefix

    def to_collectd(self, address: tuple[str, int]) -> None:
        self._collectd = address
        self._udp = self.reactor.listenUDP(0, protocol.DatagramProtocol(), interface="127.0.0.1")

    def start(self) -> None:
        if self._graphite is not None and self._link is None:
            self._dial()
        self.deadlines.add(self.clock() + self.interval_s * 1000.0, self._tick)

    def _tick(self) -> None:
        samples, now = samples_of(self.counters.take_snapshot()), self.unix_s()
        if self._link is not None:
            self._link.send(graphite.encode_lines(f"{self._prefix}.{self.name}", samples, now))
        if self._collectd is not None:
            for packet in collectd.encode_packets(self.name, samples, now, self.interval_s):
                with suppress(OSError):  # no buffer, no way there: these figures are let go
                    self._udp.write(packet, self._collectd)
        self.start()

    def _dial(self) -> None:
        """A dead Graphite costs one dial an interval."""
        if self._dialling or self._graphite is None:
            return
        self._dialling = True
        until = self.clock() + DIAL_MS
        connecting = connect_by_deadline(
            self.reactor, self._graphite, lambda: GraphiteConnection(self._lost), self.deadlines, until
        )
        connecting.addCallbacks(self._up, self._down)

    def _up(self, link: GraphiteConnection) -> None:
        self._dialling, self._link = False, link

    def _down(self, _: Failure) -> None:
        self._dialling = False
        log_disconnect("graphite", None, "dial-failed")

    def _lost(self) -> None:
        self._link = None
