"""The wire form of events and answers, made once each."""

from __future__ import annotations

import json
import math
from collections.abc import Iterable, Mapping
from typing import Any

LARGEST = 1 << 53  # of a number: past it JSON's readers differ
MOST_LINE = 4_096  # bytes of a shelf's line; a longer one keeps the keys known here alone
MOST_TEXT = 255  # characters of a text in it
KNOWN = ("host", "dial", "site", "class", "block", "health", "share", "born_ms")


def encode(value: Any) -> bytes:
    """JSON without spaces, keys in order.  Raises ValueError, TypeError or RecursionError."""
    return json.dumps(value, separators=(",", ":"), sort_keys=True, allow_nan=False).encode()


def whole_number(value: Any, default: int = 0) -> int:
    """A number as JSON's readers agree on it, or the default."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not -LARGEST <= value <= LARGEST:
        return default
    return int(value)


def duration(value: Any, most: float) -> float:
    """Milliseconds in [0, most]; 0 for what is none."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not value > 0:
        return 0.0
    return float(min(value, most))


def age_of(value: Any) -> float | None:
    """Milliseconds, at least 0; None for what is none."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not abs(value) <= LARGEST:
        return None
    return max(0.0, float(value))


def line(host: Any) -> tuple[str, bytes, bool] | None:
    """A shelf's name, its line, and whether it has left; None for what names no shelf."""
    if not isinstance(host, Mapping) or not isinstance(name := host.get("host"), str):
        return None
    if not 0 < len(name) <= MOST_TEXT:
        return None
    try:
        data = encode(dict(host))
    except (ValueError, TypeError, RecursionError):
        data = b""
    if not 0 < len(data) <= MOST_LINE:
        # Guards memory against one line; what is missing in it, routers read on the side that breaks no rule.
        data = encode({key: host[key] for key in KNOWN if key in host and _plain(host[key])})
    return name, data, host.get("health") == "left"


def _plain(value: Any) -> bool:
    if isinstance(value, str):
        return len(value) <= MOST_TEXT
    return isinstance(value, int | float) and math.isfinite(value) and abs(value) <= LARGEST


def list_event(number: int, seq: int | None, whole: bool, lines: Iterable[bytes]) -> bytes:
    head = b'{"cursor":%d,"nodes":{"seq":%s,"whole":%s,"hosts":[' % (number, encode(seq), encode(whole))
    return head + b",".join(lines) + b"]}}"


def purge_event(number: int, key: str | None, family: int, when_ms: float) -> bytes:
    """A time that is not finite goes out as null, which every router reads as now."""
    what: dict[str, Any] = {"family": family} if key is None else {"id": key}
    if math.isfinite(when_ms):
        what["when"] = int(when_ms) if when_ms == int(when_ms) else when_ms
    else:
        what["when"] = None
    return b'{"cursor":%d,"drop":%s}' % (number, encode(what))


def answer(epoch: str, age_ms: int, cursor: int, events: bytes) -> bytes:
    return b'{"cursor":%d,"epoch":"%s","age":%d,"cmds":[%s]}' % (cursor, epoch.encode(), age_ms, events)
