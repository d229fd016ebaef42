"""collectd's binary network protocol: datagrams of parts, each a type, a length and a value."""

from __future__ import annotations

import struct
from collections.abc import Iterable
from enum import IntEnum

from thornjunction.net.wire.graphite import Sample

# Largest datagram that the protocol allows; no Ethernet network fragments it.
MAX_PACKET_BYTES = 1452

# Largest length of a name; the protocol allows 64 bytes with the terminating zero.
MAX_TEXT_BYTES = 63

# Name of the plugin in all values.
PLUGIN_NAME = "thornjunction"

# Units per second of a high-resolution time.
TICKS_PER_S = 1 << 30

# Header of a part: type and length; the length includes this header.
PART_HEADER = struct.Struct(">HH")

# Part with a time: header and ticks.
TIME_PART = struct.Struct(">HHQ")

# Beginning of a part with one value: header, number of values and data source type.
VALUES_HEADER = struct.Struct(">HHHB")

# Size of a value, of either type.
VALUE_BYTES = 8


class PartType(IntEnum):
    """Type of a part."""

    HOST = 0x0
    PLUGIN = 0x2
    TYPE = 0x4
    TYPE_INSTANCE = 0x5
    VALUES = 0x6
    TIME_HR = 0x8
    INTERVAL_HR = 0x9


class DataSourceType(IntEnum):
    """Type of a value: a gauge is a little-endian double, a derive value a big-endian signed integer."""

    GAUGE = 1
    DERIVE = 2


def encode_packets(host: str, samples: Iterable[Sample], unix_s: float, interval_s: float) -> list[bytes]:
    """Encode samples into datagrams.

    Each datagram can be decoded on its own, because it begins with the host, the time and the plugin.

    Args:
        host: name of this host.
        samples: values to encode.
        unix_s: time of the samples in Unix seconds.
        interval_s: seconds between two collections.
    """
    header = (
        _encode_text(PartType.HOST, host)
        + _encode_time(PartType.TIME_HR, unix_s)
        + _encode_time(PartType.INTERVAL_HR, interval_s)
        + _encode_text(PartType.PLUGIN, PLUGIN_NAME)
    )
    packets: list[bytes] = []
    packet = header
    for sample in samples:
        parts = _encode_sample(sample)
        if len(packet) + len(parts) > MAX_PACKET_BYTES:
            packets.append(packet)
            packet = header
        packet += parts
    if packet != header:
        packets.append(packet)
    return packets


def _encode_sample(sample: Sample) -> bytes:
    if sample.counter:
        type_name = "derive"
        source_type = DataSourceType.DERIVE
        value = struct.pack(">q", int(sample.value))
    else:
        type_name = "gauge"
        source_type = DataSourceType.GAUGE
        value = struct.pack("<d", sample.value)
    length = VALUES_HEADER.size + VALUE_BYTES
    values = VALUES_HEADER.pack(PartType.VALUES, length, 1, source_type) + value
    names = _encode_text(PartType.TYPE, type_name) + _encode_text(PartType.TYPE_INSTANCE, sample.name)
    return names + values


def _encode_text(part_type: PartType, text: str) -> bytes:
    data = text.encode("ascii", "replace")[:MAX_TEXT_BYTES] + b"\0"
    return PART_HEADER.pack(part_type, PART_HEADER.size + len(data)) + data


def _encode_time(part_type: PartType, seconds: float) -> bytes:
    return TIME_PART.pack(part_type, TIME_PART.size, int(seconds * TICKS_PER_S))
