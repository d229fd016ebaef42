"""What is said to shelfs, parents and the origin, and what they answer."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from thornjunction.core.ports import UpstreamRequest
from thornjunction.net.wire import ProtocolError
from thornjunction.net.wire.resp import encode_array

MAX_FIELDS = 4096  # bytes


class Word(Enum):
    """How an answer begins."""

    DONE = b"DONE"
    KEEP = b"KEEP"
    LACK = b"LACK"
    WAIT = b"WAIT"
    BROKE = b"BROKE"
    PAST = b"PAST"
    FIT = b"FIT"
    UNFIT = b"UNFIT"


@dataclass(frozen=True, slots=True)
class ShelfAnswer:
    ident: str
    word: Word
    fields: Mapping[str, str]
    body: bytes


def encode_want(order: UpstreamRequest, left_ms: float) -> bytes:
    """The attempt's request, with the time left for it as it is written.

    Unbounded ages and absent values are left out; times round down.
    """
    call, fetch = order.client_request, order.fetch
    filled = fetch.source != fetch.server
    # Guards against a shelf told to renew a copy from nowhere: without a source nothing can be fetched.
    words = (
        ("collapse", fetch.coalesce),
        ("only-if-cached", fetch.cached_only and filled),
        ("refresh", fetch.refresh_in_background and filled),
    )
    fields = {
        "profile": call.class_name,
        "thing": call.object_id,
        "nth": str(call.part),
        "max": str(max(math.floor(left_ms), 1)),
        "replay": call.idempotency_key,
        "up": fetch.source if filled else "",
        "store": str(fetch.retention_rank) if fetch.retention_rank else "",
        "cap": str(max(math.floor(fetch.max_age_ms), 1)) if fetch.max_age_ms > 0 else "",
        "do": "+".join(word for word, said in words if said),
        "inm": call.if_none_match,
    }
    told = ",".join(f"{name}={value}" for name, value in fields.items() if value)
    return encode_array((b"want", call.transaction_id.encode(), told.encode(), call.body))


def encode_never_mind(ident: str) -> bytes:
    return encode_array((b"never_mind", ident.encode()))


def encode_busy(tag: str) -> bytes:
    return encode_array((b"busy", tag.encode()))


def decode_answer(items: tuple[bytes, ...]) -> ShelfAnswer:
    if len(items) != 4:
        raise ProtocolError("shelf-items")
    ident, word, fields, body = items
    try:
        return ShelfAnswer(ident.decode("ascii"), Word(word), _fields(fields), body)
    except ValueError as error:
        raise ProtocolError("shelf-answer") from error


def _fields(data: bytes) -> dict[str, str]:
    if len(data) > MAX_FIELDS:
        raise ValueError("too long")
    if data in (b"-", b""):
        return {}
    named: dict[str, str] = {}
    for pair in data.decode("ascii").split(","):
        name, equals, value = pair.partition("=")
        if not equals or not pair.isprintable():  # a tag goes into the heads of answers to clients
            raise ValueError(pair)
        named[name] = value
    return named


def decode_report(text: str) -> dict[str, float]:
    """The values of ``inflight:7;util:0.61``; what is no number is left out."""
    told: dict[str, float] = {}
    for pair in text.split(";"):
        name, _, value = pair.partition(":")
        try:
            number = float(value)
        except ValueError:
            continue
        if math.isfinite(number):  # one that is not would stay in every mean that it enters
            told[name] = number
    return told
