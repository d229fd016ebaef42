"""Samples in the protocols of Graphite and collectd."""

from __future__ import annotations

from tests.net.wire.builders import COLLECTD_TIME_S, collectd_values
from thornjunction.net.wire import collectd, graphite

SAMPLES = [graphite.Sample("requests.a b.count", 7, counter=True), graphite.Sample("x.mean_ms", 2.5)]


def test_graphite_lines_are_encoded() -> None:
    lines = graphite.encode_lines("tj.n1", SAMPLES, 99.9).decode().splitlines()
    assert lines == ["tj.n1.requests.a_b.count 7 99", "tj.n1.x.mean_ms 2.5 99"]


def test_collectd_packets_are_bounded_and_keep_all_values() -> None:
    packets = collectd.encode_packets("n1", SAMPLES * 40, COLLECTD_TIME_S, 10.0)
    assert len(packets) > 1
    assert all(len(packet) <= collectd.MAX_PACKET_BYTES for packet in packets)
    values = [value for packet in packets for value in collectd_values(packet)]
    assert values == [7, 2.5] * 40
