"""Requests to cache servers and to the origin, and their responses: RESP arrays of four items.

A request is ``want``, its id, its fields and its body; a response is the request's id, a code, fields and a
body.  Fields are pairs ``NAME=VALUE``, separated by commas.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from thornjunction import interface as api
from thornjunction.core.ports import UpstreamRequest
from thornjunction.net.wire import ProtocolError
from thornjunction.net.wire.resp import encode_array

# Items of a response.
RESPONSE_ITEMS = 4

# Fields of a response, the load report among them.
MAX_FIELDS_BYTES = 4096

# Fields of a response that has none.
NO_FIELDS = (b"-", b"")

# Times are sent in whole milliseconds, rounded down; 0 would mean none.
MIN_TIME_MS = 1


class ResponseCode(Enum):
    """How a request ended; the values are the wire's."""

    DONE = b"DONE"
    KEEP = b"KEEP"
    """The client's own copy is the current one."""

    LACK = b"LACK"
    """A miss: nothing ran."""

    WAIT = b"WAIT"
    """The server is full: nothing ran."""

    BROKE = b"BROKE"
    """An error: the request may have run."""

    PAST = b"PAST"
    """The request was over already: nothing ran."""

    FIT = b"FIT"
    """Response to a health check: the server can serve."""

    UNFIT = b"UNFIT"
    """Response to a health check: the server cannot serve."""


@dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """A response.

    Attributes:
        request_id: id of the request or the health check.
        code: how it ended.
        fields: values by name.
        body: the content.
    """

    request_id: str
    code: ResponseCode
    fields: Mapping[str, str]
    body: bytes


class MalformedFieldsError(ValueError):
    """The fields of a response cannot be read."""


def encode_request(request: UpstreamRequest, remaining_ms: float) -> bytes:
    """Encode an attempt; unbounded ages and absent values are left out, times are rounded down.

    Args:
        request: the attempt.
        remaining_ms: milliseconds that remain for it as it is written.
    """
    client_request = request.client_request
    fetch = request.fetch
    has_source = fetch.source != fetch.server
    fields = {
        "profile": client_request.class_name,
        "thing": client_request.object_id,
        "nth": str(client_request.part),
        "max": _rounded_ms(remaining_ms),
        "replay": client_request.idempotency_key,
        "up": fetch.source if has_source else "",
        "store": str(fetch.retention_rank) if fetch.retention_rank else "",
        "cap": _rounded_ms(fetch.max_age_ms) if fetch.max_age_ms > 0 else "",
        "do": _directives(fetch, has_source),
        "inm": client_request.if_none_match,
    }
    text = ",".join(f"{name}={value}" for name, value in fields.items() if value)
    transaction_id = client_request.transaction_id.encode()
    return encode_array((b"want", transaction_id, text.encode(), client_request.body))


def _rounded_ms(time_ms: float) -> str:
    return str(max(math.floor(time_ms), MIN_TIME_MS))


def _directives(fetch: api.StartAttempt, has_source: bool) -> str:
    """Value of ``do``; without a source nothing can be fetched, and a copy is not renewed from nowhere."""
    directives: list[str] = []
    if fetch.coalesce:
        directives.append("collapse")
    if fetch.cached_only and has_source:
        directives.append("only-if-cached")
    if fetch.refresh_in_background and has_source:
        directives.append("refresh")
    return "+".join(directives)


def encode_cancel(request_id: str) -> bytes:
    """Encode that the response to a request is no longer waited for."""
    return encode_array((b"never_mind", request_id.encode()))


def encode_health_check(check_id: str) -> bytes:
    """Encode a health check, whose response carries this id."""
    return encode_array((b"busy", check_id.encode()))


def decode_response(items: tuple[bytes, ...]) -> UpstreamResponse:
    """Decode a response.

    Raises:
        ProtocolError: ``shelf-items`` for a wrong number of items, ``shelf-answer`` for a malformed one.
    """
    if len(items) != RESPONSE_ITEMS:
        raise ProtocolError("shelf-items")
    request_id, code, fields, body = items
    try:
        return UpstreamResponse(request_id.decode("ascii"), ResponseCode(code), _decode_fields(fields), body)
    except ValueError as error:
        raise ProtocolError("shelf-answer") from error


def _decode_fields(data: bytes) -> dict[str, str]:
    if len(data) > MAX_FIELDS_BYTES:
        raise MalformedFieldsError
    if data in NO_FIELDS:
        return {}
    fields: dict[str, str] = {}
    for pair in data.decode("ascii").split(","):
        name, equals, value = pair.partition("=")
        if not equals or not pair.isprintable():  # an entity tag is copied into headers sent to clients
            raise MalformedFieldsError
        fields[name] = value
    return fields


def decode_report(text: str) -> dict[str, float]:
    """Decode a load report, as ``inflight:7;util:0.61``; what is no finite number is left out."""
    values: dict[str, float] = {}
    for pair in text.split(";"):
        name, _, digits = pair.partition(":")
        try:
            number = float(digits)
        except ValueError:
            continue
        if math.isfinite(number):  # another one would stay in every mean that it enters
            values[name] = number
    return values
