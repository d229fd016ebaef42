"""Values in parsed JSON, and the faults that reading them finds."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

# Largest absolute value of a number: beyond it, JSON readers differ.
MAX_NUMBER = 1 << 53

# Faults in one response, beyond which it is rejected: each takes time.
MAX_FAULTS = 1000

# What reading a malformed value raises.
UNREADABLE = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


class MalformedValueError(ValueError):
    """A value is not what its key holds; it is reported as a fault, by the key."""


class TooManyFaultsError(Exception):
    """A response has over ``MAX_FAULTS``.

    No ``ValueError``, so that the readers of single values, which catch those, let it through.
    """


class Faults:
    """Codes of what could not be read in one response."""

    def __init__(self) -> None:
        self.codes: list[str] = []

    def add(self, code: str) -> None:
        """Add one fault.

        Raises:
            TooManyFaultsError: there are over ``MAX_FAULTS``.
        """
        self.codes.append(code)
        if len(self.codes) > MAX_FAULTS:
            raise TooManyFaultsError


def signed(value: Any) -> float:
    """Return a number on whose value all JSON readers agree; MalformedValueError for anything else."""
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not -MAX_NUMBER <= value <= MAX_NUMBER
    ):
        raise MalformedValueError
    return value


def unsigned(value: Any) -> float:
    """Return such a number that is not negative."""
    number = signed(value)
    if number < 0:
        raise MalformedValueError
    return number


def optional_unsigned(document: Mapping[str, Any], key: str) -> float | None:
    """A number that may be missing; anything else is ignored, for the plain protocol has no such key."""
    try:
        return float(unsigned(document[key]))
    except UNREADABLE:
        return None
