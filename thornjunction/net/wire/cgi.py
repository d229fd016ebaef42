"""The platform's requests as CGI parameters, and CGI responses (RFC 3875 §6)."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping

from thornjunction.core.ports import Answer, ClientRequest, Failed, Rejected, Served
from thornjunction.net.wire import ProtocolError

# Format of transaction and object ids.
HEX16 = re.compile(r"[0-9a-f]{16}", re.ASCII)

# Allowed values of a field of a request to a cache server.
WORD = re.compile(r"[0-9A-Za-z_.:-]{1,128}", re.ASCII)

# Prefix of a request's path, before the name of its class.
REQUEST_PREFIX = "/do/"

# Path of the platform's health check.
HEALTH_CHECK_PATH = "/check"

# Response to a health check of a ready router.
READY = b"Status: 200\r\n\r\n"

# Response to a health check of a router that is not ready or is draining.
NOT_READY = b"Status: 503\r\n\r\n"

# Response to a request that cannot be decoded.
BAD_REQUEST = b"Status: 400\r\n\r\n"

# Largest part number of an object.
MAX_PART = 1 << 20

# Largest group number, which is one byte.
MAX_GROUP = 255

# Longest time that a client waits, in milliseconds.
MAX_REMAINING_MS = 600_000.0

# Largest size of a part, in kilobytes.
MAX_SIZE_KB = 1e9

# Remaining time of a request whose time is over; such a request is decided like any other.
MIN_REMAINING_MS = 1.0

# Parameters that are read.
PARAMETER_NAMES = frozenset(
    (
        "SCRIPT_NAME",
        "HTTP_X_GROUP",
        "HTTP_X_HAVE",
        "HTTP_X_PART",
        "HTTP_X_ROW",
        "HTTP_X_TTL_MS",
        "HTTP_X_TXN",
        "HTTP_X_TXN_KEY",
        "HTTP_X_WORKING_SET_KB",
    )
)

# Prefix of the parameters that hold HTTP headers (RFC 3875 §4.1.18).
HEADER_PREFIX = "HTTP_"


def decode_request(params: Mapping[str, str], body: bytes, spent_ms: float = 0.0) -> ClientRequest:
    """Decode a request.

    Args:
        params: CGI parameters by name.
        body: the request's body.
        spent_ms: milliseconds of the client's waiting time that have already passed.

    Raises:
        ProtocolError: the path or a field is malformed.
    """
    path = params.get("SCRIPT_NAME", "")
    if not path.startswith(REQUEST_PREFIX):
        raise ProtocolError("path")
    return ClientRequest(
        transaction_id=_required_field(HEX16, params, "HTTP_X_TXN"),
        class_name=_decode_class_name(path[len(REQUEST_PREFIX) :]),
        object_id=_required_field(HEX16, params, "HTTP_X_ROW"),
        remaining_ms=_decode_remaining_ms(params, spent_ms),
        part=int(parse_number(params.get("HTTP_X_PART", "0"), MAX_PART, "part")),
        group=int(parse_number(params.get("HTTP_X_GROUP", "0"), MAX_GROUP, "group")),
        size_kb=parse_number(params.get("HTTP_X_WORKING_SET_KB", "0"), MAX_SIZE_KB, "size"),
        idempotency_key=_optional_field(params, "HTTP_X_TXN_KEY"),
        if_none_match=_optional_field(params, "HTTP_X_HAVE"),
        body=body,
    )


def parse_number(text: str, max_value: float, code: str) -> float:
    """Parse a number from 0 to a limit.

    Raises:
        ProtocolError: ``field-CODE``, the text is not a number, or out of range.
    """
    try:
        value = float(text)
    except ValueError as error:
        raise ProtocolError(f"field-{code}") from error
    if not 0 <= value <= max_value or math.isnan(value):
        raise ProtocolError(f"field-{code}")
    return value


def _decode_remaining_ms(params: Mapping[str, str], spent_ms: float) -> float:
    remaining_ms = parse_number(params.get("HTTP_X_TTL_MS", ""), MAX_REMAINING_MS, "ttl")
    return max(remaining_ms - spent_ms, MIN_REMAINING_MS)


def _decode_class_name(text: str) -> str:
    if not WORD.fullmatch(text):
        raise ProtocolError("field-path")
    return text


def _required_field(pattern: re.Pattern[str], params: Mapping[str, str], name: str) -> str:
    text = params.get(name, "")
    if not pattern.fullmatch(text):
        raise ProtocolError(f"field-{name.removeprefix(HEADER_PREFIX).lower()}")
    return text


def _optional_field(params: Mapping[str, str], name: str) -> str:
    if not params.get(name):
        return ""
    return _required_field(WORD, params, name)


def encode_response(answer: Answer) -> bytes:
    """Encode a final answer; the retry delay of a rejection is rounded up to whole milliseconds."""
    match answer:
        case Served(content) if content.not_modified:
            return b"Status: 200\r\nX-Same: 1\r\n\r\n"
        case Served(content):
            return b"Status: 200\r\n\r\n" + content.body
        case Rejected(retry_after_ms):
            return b"Status: 503\r\nX-Throttle-Ms: %d\r\n\r\n" % max(math.ceil(retry_after_ms), 0)
        case Failed(timed_out=True):
            return b"Status: 504\r\n\r\n"
        case Failed():
            return b"Status: 502\r\n\r\n"
