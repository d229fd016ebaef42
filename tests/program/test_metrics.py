"""Export of metrics to Graphite and collectd servers on real sockets."""

from __future__ import annotations

from fakes.event_loop import Steps, reactor
from fakes.loopback_environment import LoopbackEnvironment
from twisted.internet import protocol
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.trial.unittest import TestCase

from tests.loopback import make_loopback_environment
from tests.net.wire.builders import collectd_values
from thornjunction import interface as api
from thornjunction.core.counters import Counters
from thornjunction.net.event_loop.ports import ListeningPort
from thornjunction.net.event_loop.timer_service import core_ms
from thornjunction.net.event_loop.transport import BuildFactory
from thornjunction.net.telemetry.graphite_client import ConnectionState
from thornjunction.net.telemetry.metrics_exporter import MetricsExporter, MetricsSource

# The Unix time of the exported metrics, and the duration of the counted attempt.
UNIX_S = 10.5
ELAPSED_MS = 12.5

# Seconds between two exports.
INTERVAL_S = 10.0


class GraphiteServer(protocol.Protocol):
    """A Graphite server that fires a deferred with the received lines, and closes the connection."""

    def __init__(self, received: Deferred[str]) -> None:
        self._received = received

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Fire the deferred with the lines."""
        self._received.callback(data.decode())
        self.transport.loseConnection()


class CollectdServer(protocol.DatagramProtocol):
    """A collectd server that fires a deferred with the received packet."""

    def __init__(self, received: Deferred[bytes]) -> None:
        self._received = received

    def datagramReceived(self, datagram: bytes, addr: object) -> None:  # noqa: N802
        """Fire the deferred with the packet."""
        self._received.callback(datagram)


class MetricsTest(TestCase):
    timeout = 20

    def setUp(self) -> None:
        self.environment: LoopbackEnvironment = make_loopback_environment()
        self.addCleanup(self.environment.stop)
        counters = Counters()
        counters.attempt_ended(api.AttemptStatus.SUCCEEDED, ELAPSED_MS)
        deadlines = self.environment.timer_service.deadlines
        source = MetricsSource(counters, "n1", INTERVAL_S)
        self.metrics = MetricsExporter(reactor, deadlines, core_ms, lambda: UNIX_S, source)

    def listen(self, received_lines: Deferred[str], received_packet: Deferred[bytes]) -> None:
        """Start both servers, and add them to the exporter."""
        factory = BuildFactory(lambda: GraphiteServer(received_lines))
        tcp_port: ListeningPort = reactor.listenTCP(0, factory, interface="127.0.0.1")
        udp_port: ListeningPort = reactor.listenUDP(0, CollectdServer(received_packet), interface="127.0.0.1")
        self.addCleanup(tcp_port.stopListening)
        self.addCleanup(udp_port.stopListening)
        self.metrics.add_graphite(("127.0.0.1", tcp_port.getHost().port), "tj")
        self.metrics.add_collectd(("127.0.0.1", udp_port.getHost().port))

    @inlineCallbacks
    def test_metrics_arrive_at_graphite_and_collectd(self) -> Steps[None]:
        received_lines: Deferred[str] = Deferred()
        received_packet: Deferred[bytes] = Deferred()
        self.listen(received_lines, received_packet)
        self.metrics.start()
        self.addCleanup(self.metrics.collectd_port.stopListening)
        yield self.environment.wait_until(lambda: self.metrics.graphite.state is ConnectionState.CONNECTED)
        self.metrics.export()
        lines = yield received_lines
        assert "tj.n1.attempts.done.count 1 10\n" in lines
        assert "tj.n1.attempts.done.mean_ms 12.5 10\n" in lines
        packet = yield received_packet
        assert collectd_values(packet) == [1, ELAPSED_MS, ELAPSED_MS]
        yield self.environment.wait_until(lambda: self.metrics.graphite.state is ConnectionState.DISCONNECTED)
