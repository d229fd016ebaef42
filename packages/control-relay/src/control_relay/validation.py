"""Checks of untrusted values: each function returns a value in range, or a default."""

from __future__ import annotations

import math
import re

# JSON parsers disagree about integers of greater magnitude.
MAX_SAFE_INTEGER = 1 << 53

# Types of a JSON number; a constant, because each evaluation of ``int | float`` creates an object.
NUMBER_TYPES = (int, float)

# Name of an epoch, a router or a relay.
NAME_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,32}", re.ASCII)


def int_or_default(value: object, default: int = 0) -> int:
    """Return a number as an integer, or the default where it is no number or beyond ``MAX_SAFE_INTEGER``."""
    if isinstance(value, bool) or not isinstance(value, NUMBER_TYPES):
        return default
    if not -MAX_SAFE_INTEGER <= value <= MAX_SAFE_INTEGER:
        return default
    return int(value)


def duration_or_zero(value: object, max_ms: float) -> float:
    """Return a duration (ms) in [0, max_ms], 0 where the value is not a positive number."""
    if isinstance(value, bool) or not isinstance(value, NUMBER_TYPES) or not value > 0:
        return 0.0
    return float(min(value, max_ms))


def age_or_none(value: object) -> float | None:
    """Return an age (ms) of at least 0, or None where the value is no number or too large."""
    if isinstance(value, bool) or not isinstance(value, NUMBER_TYPES) or not abs(value) <= MAX_SAFE_INTEGER:
        return None
    return max(0.0, float(value))


def unix_ms_or_infinity(value: object) -> float:
    """Return a Unix time (ms), or infinity where the value is no number or too large."""
    if isinstance(value, bool) or not isinstance(value, NUMBER_TYPES):
        return math.inf
    if not -MAX_SAFE_INTEGER <= value <= MAX_SAFE_INTEGER:
        return math.inf
    return float(value)
