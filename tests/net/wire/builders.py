"""Builders of wire messages for tests."""

from __future__ import annotations

import json
import struct
from typing import Any

from fakes.clients import encode_fastcgi_request
from hypothesis import settings

from thornjunction import interface as api
from thornjunction.core.ports import ClientRequest, UpstreamRequest
from thornjunction.net.wire import collectd

# Settings of property tests: the same examples in each run, without a time limit.
reproducible = settings(derandomize=True, max_examples=60, deadline=None)

# Parameters of a complete request on the platform's front; one value needs a length of four bytes.
PARAMS = {
    "SCRIPT_NAME": "/do/clips",
    "HTTP_X_TXN": "9b1f03aa5c7e2d41",
    "HTTP_X_ROW": "7f3a9c21e0b4d655",
    "HTTP_X_TTL_MS": "1500",
    "HTTP_X_WORKING_SET_KB": "412.5",
    "LONG": "x" * 300,
}

# Time of each packet that ``collectd_values`` reads, in seconds.
COLLECTD_TIME_S = 10.5

# Header of a collectd part: type and size.
COLLECTD_PART_HEADER = struct.Struct(">HH")


def encoded_fastcgi_request(
    request_id: int = 7,
    params: dict[str, str] = PARAMS,
    body: bytes = b"body",
    keep_alive: bool = True,
) -> bytes:
    """Encode the records of a complete request."""
    return encode_fastcgi_request(request_id, params, body, keep_alive)


def upstream_request(**fetch_fields: Any) -> UpstreamRequest:
    """Build an attempt at server ``s1`` with source ``p1``, or without a source if fields are given."""
    client_request = ClientRequest(
        "id", "readings", "7f3a9c21e0b4d655", 900.0, if_none_match="tag", body=b"b"
    )
    if fetch_fields:
        fetch = api.StartAttempt("1", "s1", 900.7, "s1", **fetch_fields)
    else:
        fetch = api.StartAttempt(
            "1",
            "s1",
            900.7,
            "p1",
            retention_rank=2,
            max_age_ms=0.4,
            refresh_in_background=True,
            cached_only=True,
        )
    return UpstreamRequest(1, client_request, fetch)


def commands_body(events: list[Any], cursor: int, **fields: Any) -> bytes:
    """Encode the body of a response of the command channel."""
    return json.dumps({"cursor": cursor, "cmds": events} | fields).encode()


def collectd_values(packet: bytes) -> list[float]:
    """Decode the values of a packet independently of the encoder, as the protocol's description specifies."""
    values: list[float] = []
    position = 0
    while position < len(packet):
        part_type, size = COLLECTD_PART_HEADER.unpack_from(packet, position)
        if part_type == collectd.PartType.VALUES:
            (source_type,) = struct.unpack_from("B", packet, position + 6)
            value_format = ">q" if source_type == collectd.DataSourceType.DERIVE else "<d"
            values.append(struct.unpack_from(value_format, packet, position + 7)[0])
        elif part_type == collectd.PartType.TIME_HR:
            assert struct.unpack_from(">Q", packet, position + 4)[0] == int(COLLECTD_TIME_S * 2**30)
        position += size
    return values
