"""Requests to cache servers and to the origin, and their responses: RESP arrays of four items.

A request consists of ``want``, its id, its fields and its body; a response of the request's id, a code,
fields and a body.  Fields are pairs ``NAME=VALUE``, separated by commas.
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

# Number of items of a response.
RESPONSE_ITEMS = 4

# Largest size of the fields of a response, including the load report.
MAX_FIELDS_BYTES = 4096

# Values of the item with the fields if a response has none.
NO_FIELDS = (b"-", b"")

# Smallest time in a request; times are rounded down to whole milliseconds, and 0 would mean no time.
MIN_TIME_MS = 1


class ResponseCode(Enum):
    """How a request ended; the values are those of the protocol."""

    DONE = b"DONE"
    KEEP = b"KEEP"
    """The client's own copy is the current one."""

    LACK = b"LACK"
    """A miss: nothing was executed."""

    WAIT = b"WAIT"
    """The server is at capacity: nothing was executed."""

    BROKE = b"BROKE"
    """An error: the request may have been executed."""

    PAST = b"PAST"
    """The request's time was already over: nothing was executed."""

    FIT = b"FIT"
    """Response to a health check: the server can serve."""

    UNFIT = b"UNFIT"
    """Response to a health check: the server cannot serve."""


@dataclass(frozen=True, slots=True)
class UpstreamResponse:
    """A response to a request or a health check.

    Attributes:
        request_id: id of the request or of the health check.
        code: how the request or the health check ended.
        fields: values of the fields by name.
        body: content of the response.
    """

    request_id: str
    code: ResponseCode
    fields: Mapping[str, str]
    body: bytes


class MalformedFieldsError(ValueError):
    """The fields of a response are malformed or too long."""


def encode_request(request: UpstreamRequest, remaining_ms: float) -> bytes:
    """Encode an attempt; unlimited ages and missing values are omitted, times are rounded down.

    Args:
        request: the attempt.
        remaining_ms: milliseconds that remain for the attempt when it is sent.
    """
    client_request = request.client_request
    fetch = request.fetch
    has_separate_source = fetch.source != fetch.server
    fields = {
        "profile": client_request.class_name,
        "thing": client_request.object_id,
        "nth": str(client_request.part),
        "max": _rounded_ms(remaining_ms),
        "replay": client_request.idempotency_key,
        "up": fetch.source if has_separate_source else "",
        "store": str(fetch.retention_rank) if fetch.retention_rank else "",
        "cap": _rounded_ms(fetch.max_age_ms) if fetch.max_age_ms > 0 else "",
        "do": _directives(fetch, has_separate_source),
        "inm": client_request.if_none_match,
    }
    text = ",".join(f"{name}={value}" for name, value in fields.items() if value)
    transaction_id = client_request.transaction_id.encode()
    return encode_array((b"want", transaction_id, text.encode(), client_request.body))


def _rounded_ms(time_ms: float) -> str:
    return str(max(math.floor(time_ms), MIN_TIME_MS))


def _directives(fetch: api.StartAttempt, has_separate_source: bool) -> str:
    """Value of the field ``do``; without a separate source, a copy can be neither fetched nor refreshed."""
    directives: list[str] = []
    if fetch.coalesce:
        directives.append("collapse")
    if fetch.cached_only and has_separate_source:
        directives.append("only-if-cached")
    if fetch.refresh_in_background and has_separate_source:
        directives.append("refresh")
    return "+".join(directives)


def encode_cancel(request_id: str) -> bytes:
    """Encode the cancellation of a request whose response is no longer awaited."""
    return encode_array((b"never_mind", request_id.encode()))


def encode_health_check(check_id: str) -> bytes:
    """Encode a health check; its response has the same id."""
    return encode_array((b"busy", check_id.encode()))


def decode_response(items: tuple[bytes, ...]) -> UpstreamResponse:
    """Decode a response.

    Raises:
        ProtocolError: ``shelf-items`` for a wrong number of items, ``shelf-answer`` for a malformed response.
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
        if not equals or not pair.isprintable():  # an entity tag is copied into headers of client responses
            raise MalformedFieldsError
        fields[name] = value
    return fields


def decode_report(text: str) -> dict[str, float]:
    """Decode a load report such as ``inflight:7;util:0.61``; values that are not finite are skipped."""
    values: dict[str, float] = {}
    for pair in text.split(";"):
        name, _, digits = pair.partition(":")
        try:
            number = float(digits)
        except ValueError:
            continue
        if math.isfinite(number):  # any other value would corrupt the means permanently
            values[name] = number
    return values
