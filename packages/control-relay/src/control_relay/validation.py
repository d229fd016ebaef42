"""Checks of untrusted values: each returns a value in range, or a default."""

from __future__ import annotations

import math
import re

# JSON readers disagree about integers beyond this.
MAX_SAFE_INTEGER = 1 << 53

# Types of a JSON number; a constant, because ``int | float`` is built anew each time it is evaluated.
NUMBER_TYPES = (int, float)

# Name of an epoch, a router or a relay.
NAME_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,32}", re.ASCII)


def int_or_default(value: object, default: int = 0) -> int:
    """Return a number as an integer, or the default where it is none or beyond ``MAX_SAFE_INTEGER``."""
    if isinstance(value, bool) or not isinstance(value, NUMBER_TYPES):
        return default
    if not -MAX_SAFE_INTEGER <= value <= MAX_SAFE_INTEGER:
        return default
    return int(value)


def duration_or_zero(value: object, max_ms: float) -> float:
    """Return a duration (ms) in [0, max_ms], 0 where the value is none."""
    if isinstance(value, bool) or not isinstance(value, NUMBER_TYPES) or not value > 0:
        return 0.0
    return float(min(value, max_ms))


def age_or_none(value: object) -> float | None:
    """Return an age (ms) of at least 0, or None where the value is none."""
    if isinstance(value, bool) or not isinstance(value, NUMBER_TYPES) or not abs(value) <= MAX_SAFE_INTEGER:
        return None
    return max(0.0, float(value))


def unix_ms_or_infinity(value: object) -> float:
    """Return a Unix time (ms), or infinity where it cannot be read."""
    if isinstance(value, bool) or not isinstance(value, NUMBER_TYPES):
        return math.inf
    if not -MAX_SAFE_INTEGER <= value <= MAX_SAFE_INTEGER:
        return math.inf
    return float(value)
