"""JSON encoding of events and poll responses, in the command channel's wire format."""

from __future__ import annotations

import json
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from control_relay.validation import MAX_SAFE_INTEGER

# Maximum encoded size of an endpoint; a larger one is reduced to ``KNOWN_KEYS``.
MAX_ENDPOINT_BYTES = 4_096

# Maximum length of a text in a reduced endpoint, and of an endpoint's name.
MAX_TEXT_LENGTH = 255

# Keys of an endpoint that routers read.
KNOWN_KEYS = ("host", "dial", "site", "class", "block", "health", "share", "born_ms")


@dataclass(frozen=True, slots=True)
class EncodedEndpoint:
    """An endpoint's name, its JSON, and whether it has left the list."""

    name: str
    data: bytes
    has_left: bool


def encode_json(value: Any) -> bytes:
    """Encode without spaces and with sorted keys, so that equal values have equal encodings.

    Raises ValueError, TypeError or RecursionError for what JSON cannot express.
    """
    return json.dumps(value, separators=(",", ":"), sort_keys=True, allow_nan=False).encode()


def encode_endpoint(endpoint: Any) -> EncodedEndpoint | None:
    """Encode an endpoint; None where it has no valid name."""
    if not isinstance(endpoint, Mapping):
        return None
    name = endpoint.get("host")
    if not isinstance(name, str) or not 0 < len(name) <= MAX_TEXT_LENGTH:
        return None
    try:
        data = encode_json(dict(endpoint))
    except (ValueError, TypeError, RecursionError):
        data = b""
    if not 0 < len(data) <= MAX_ENDPOINT_BYTES:
        # Bounds memory per endpoint.  Routers use the safest default for a missing key.
        known = {key: endpoint[key] for key in KNOWN_KEYS if key in endpoint}
        data = encode_json({key: value for key, value in known.items() if _is_short_scalar(value)})
    return EncodedEndpoint(name, data, endpoint.get("health") == "left")


def _is_short_scalar(value: Any) -> bool:
    if isinstance(value, str):
        return len(value) <= MAX_TEXT_LENGTH
    return isinstance(value, int | float) and math.isfinite(value) and abs(value) <= MAX_SAFE_INTEGER


def encode_list_event(number: int, seq: int | None, is_complete: bool, endpoints: Iterable[bytes]) -> bytes:
    """Encode a list event from endpoints that are already encoded."""
    header = b'{"cursor":%d,"nodes":{"seq":%s,"whole":%s,"hosts":[' % (
        number,
        encode_json(seq),
        encode_json(is_complete),
    )
    return header + b",".join(endpoints) + b"]}}"


def encode_purge_event(number: int, target: str | int, issued_unix_ms: float) -> bytes:
    """Encode a purge of an object (text) or group (number).

    A non-finite time is sent as null, which every router interprets as the present time.
    """
    purge: dict[str, Any] = {"id": target} if isinstance(target, str) else {"family": target}
    if not math.isfinite(issued_unix_ms):
        purge["when"] = None
    elif issued_unix_ms == int(issued_unix_ms):
        purge["when"] = int(issued_unix_ms)
    else:
        purge["when"] = issued_unix_ms
    return b'{"cursor":%d,"drop":%s}' % (number, encode_json(purge))


def encode_response(epoch: str, age_ms: int, cursor: int, events: bytes) -> bytes:
    """Encode a poll response from events that are already encoded and joined by commas."""
    return b'{"cursor":%d,"epoch":"%s","age":%d,"cmds":[%s]}' % (cursor, epoch.encode(), age_ms, events)
