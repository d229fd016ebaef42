"""collectd's binary network protocol: parts of a type, a length and a value, in datagrams."""

from __future__ import annotations

import struct
from collections.abc import Iterable

from thornjunction.net.wire.graphite import Sample

HOST, PLUGIN, TYPE, TYPE_INSTANCE, VALUES, TIME_HR, INTERVAL_HR = 0x0, 0x2, 0x4, 0x5, 0x6, 0x8, 0x9
DERIVE, GAUGE = 2, 1
MAX_PACKET, MAX_TEXT = 1452, 63  # bytes: the protocol's packet size; its names


def encode_packets(host: str, samples: Iterable[Sample], unix_s: float, interval_s: float) -> list[bytes]:
    """Each datagram is whole in itself: it begins with the host, the time and the plugin."""
    head = _text(HOST, host) + _time(TIME_HR, unix_s) + _time(INTERVAL_HR, interval_s)
    head += _text(PLUGIN, "thornjunction")
    packets, packet = [], head
    for sample in samples:
        parts = _sample(sample)
        if len(packet) + len(parts) > MAX_PACKET:
            packets.append(packet)
            packet = head
        packet += parts
    return [*packets, packet] if packet != head else packets


def _sample(sample: Sample) -> bytes:
    kind = "derive" if sample.counter else "gauge"
    value = struct.pack(">q", int(sample.value)) if sample.counter else struct.pack("<d", sample.value)
    code = DERIVE if sample.counter else GAUGE
    values = struct.pack(">HHHB", VALUES, 4 + 2 + 1 + 8, 1, code) + value
    return _text(TYPE, kind) + _text(TYPE_INSTANCE, sample.name) + values


def _text(part: int, text: str) -> bytes:
    data = text.encode("ascii", "replace")[:MAX_TEXT] + b"\0"
    return struct.pack(">HH", part, 4 + len(data)) + data


def _time(part: int, seconds: float) -> bytes:
    """In units of 2**-30 seconds."""
    return struct.pack(">HHQ", part, 12, int(seconds * (1 << 30)))
