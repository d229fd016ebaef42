"""The platform's fields on FastCGI: parameters to a call, an answer to a CGI response."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping

from thornjunction.core.ports import Answer, ClientRequest, Failed, Rejected, Served
from thornjunction.net.wire import ProtocolError

HEX16 = re.compile(r"[0-9a-f]{16}", re.ASCII)
WORD = re.compile(r"[0-9A-Za-z_.:-]{1,128}", re.ASCII)  # what may stand in a field to a shelf
ROOT, CHECK = "/do/", "/check"
READY, NOT_READY, BAD_REQUEST = b"Status: 200\r\n\r\n", b"Status: 503\r\n\r\n", b"Status: 400\r\n\r\n"
MAX_PART, MAX_GROUP, MAX_TTL_MS = 1 << 20, 255, 600_000.0


def decode_call(params: Mapping[str, str], body: bytes, spent_ms: float = 0.0) -> ClientRequest:
    """The call, with some of its time spent; ProtocolError for one that no client sends in this form."""
    script = params.get("SCRIPT_NAME", "")
    if not script.startswith(ROOT):
        raise ProtocolError("path")
    return ClientRequest(
        transaction_id=_match(HEX16, params, "HTTP_X_TXN"),
        class_name=_word(script[len(ROOT) :], "path"),
        object_id=_match(HEX16, params, "HTTP_X_ROW"),
        left_ms=max(number(params.get("HTTP_X_TTL_MS", ""), MAX_TTL_MS, "ttl") - spent_ms, 1.0),
        part=int(number(params.get("HTTP_X_PART", "0"), MAX_PART, "part")),
        group=int(number(params.get("HTTP_X_GROUP", "0"), MAX_GROUP, "group")),
        size_kb=number(params.get("HTTP_X_WORKING_SET_KB", "0"), 1e9, "size"),
        idempotency_key=_optional(params, "HTTP_X_TXN_KEY"),
        if_none_match=_optional(params, "HTTP_X_HAVE"),
        body=body,
    )


def number(text: str, most: float, code: str) -> float:
    """A number from 0 to a limit."""
    try:
        value = float(text)
    except ValueError as error:
        raise ProtocolError(f"field-{code}") from error
    if not 0 <= value <= most or math.isnan(value):
        raise ProtocolError(f"field-{code}")
    return value


def _match(pattern: re.Pattern[str], params: Mapping[str, str], name: str) -> str:
    text = params.get(name, "")
    if not pattern.fullmatch(text):
        raise ProtocolError(f"field-{name[5:].lower()}")
    return text


def _word(text: str, code: str) -> str:
    if not WORD.fullmatch(text):
        raise ProtocolError(f"field-{code}")
    return text


def _optional(params: Mapping[str, str], name: str) -> str:
    return _match(WORD, params, name) if params.get(name) else ""


def encode_cgi(answer: Answer) -> bytes:
    match answer:
        case Served(content):
            same = b"X-Same: 1\r\n" if content.not_modified else b""
            return b"Status: 200\r\n" + same + b"\r\n" + (b"" if content.not_modified else content.body)
        case Rejected(wait_ms):
            return b"Status: 503\r\nX-Throttle-Ms: %d\r\n\r\n" % max(math.ceil(wait_ms), 0)
        case Failed(timed_out):
            return b"Status: 504\r\n\r\n" if timed_out else b"Status: 502\r\n\r\n"
