"""Exports metrics to Graphite and collectd at fixed intervals; what can't be sent at once is dropped."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Protocol

from twisted.internet import protocol

from thornjunction.core.counters import Counters, CountersSnapshot
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.event_loop.ports import Reactor
from thornjunction.net.telemetry.graphite_client import GraphiteClient
from thornjunction.net.wire import collectd, graphite


def samples_of(snapshot: CountersSnapshot) -> list[graphite.Sample]:
    """Return the counts since the start, and the mean and maximum latencies of the interval in ms."""
    samples = [
        graphite.Sample(f"{name}.count", value, counter=True) for name, value in snapshot.counts.items()
    ]
    for name, latency in snapshot.latencies.items():
        samples.append(graphite.Sample(f"{name}.mean_ms", latency.total_ms / latency.count))
        samples.append(graphite.Sample(f"{name}.max_ms", latency.max_ms))
    return samples


class DatagramSender(Protocol):
    """The method of a bound UDP port that the exporter uses."""

    def write(self, data: bytes, address: tuple[str, int], /) -> object:
        """Send a datagram; raises ``OSError`` if the system does not accept it."""


@dataclass(frozen=True, slots=True)
class MetricsSource:
    """The counters to export, the router's name in the metrics, and the seconds between exports."""

    counters: Counters
    router_name: str
    interval_s: float


class MetricsExporter:
    """Takes a snapshot of the counters at each interval and sends it to each target that was added."""

    def __init__(
        self,
        reactor: Reactor,
        deadlines: Deadlines,
        clock: Callable[[], float],
        unix_s: Callable[[], float],
        source: MetricsSource,
    ) -> None:
        self.graphite: GraphiteClient | None = None
        self.collectd_port: DatagramSender | None = None
        self._reactor = reactor
        self._deadlines = deadlines
        self._clock = clock
        self._unix_s = unix_s
        self._source = source
        self._graphite_prefix = ""
        self._collectd_address = ("", 0)

    def add_graphite(self, address: tuple[str, int], prefix: str) -> None:
        """Export to Graphite, with ``prefix`` and the router's name before each metric's name."""
        self.graphite = GraphiteClient(self._reactor, self._deadlines, self._clock, address)
        self._graphite_prefix = prefix

    def add_collectd(self, address: tuple[str, int]) -> None:
        """Export to collectd at ``address``, from a new UDP port on the loopback interface."""
        port = self._reactor.listenUDP(0, protocol.DatagramProtocol(), interface="127.0.0.1")
        self.set_collectd_port(port, address)

    def set_collectd_port(self, port: DatagramSender, address: tuple[str, int]) -> None:
        """Export to collectd at ``address``, from a UDP port that is already bound."""
        self.collectd_port = port
        self._collectd_address = address

    def start(self) -> None:
        """Connect to Graphite if it is a target, and schedule the next export."""
        if self.graphite is not None:
            self.graphite.connect()
        due_ms = self._clock() + self._source.interval_s * 1000.0
        self._deadlines.add(due_ms, self.export)

    def export(self) -> None:
        """Send a snapshot to each target, and schedule the next export."""
        samples = samples_of(self._source.counters.take_snapshot())
        unix_s = self._unix_s()
        if self.graphite is not None:
            path = f"{self._graphite_prefix}.{self._source.router_name}"
            self.graphite.send(graphite.encode_lines(path, samples, unix_s))
        if self.collectd_port is not None:
            self._send_to_collectd(self.collectd_port, samples, unix_s)
        self.start()

    def _send_to_collectd(self, port: DatagramSender, samples: list[graphite.Sample], unix_s: float) -> None:
        name = self._source.router_name
        for packet in collectd.encode_packets(name, samples, unix_s, self._source.interval_s):
            with suppress(OSError):  # without buffer space or a route, this packet is dropped
                port.write(packet, self._collectd_address)
