"""Reading of values from parsed JSON, and the faults found in them."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

# Largest absolute value of a number; JSON readers disagree on larger ones.
MAX_NUMBER = 1 << 53

# Most faults in one response; one with more is rejected, because each fault takes time.
MAX_FAULTS = 1000

# Exceptions that reading a malformed value raises.
MALFORMED_VALUE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, OverflowError)


class MalformedValueError(ValueError):
    """A value does not fit its key; it is reported as a fault with the key's code."""


class TooManyFaultsError(Exception):
    """A response has more than ``MAX_FAULTS``.

    It is not a ``ValueError``, because the readers of single values catch those.
    """


class Faults:
    """Collects the codes of the faults in one response."""

    def __init__(self) -> None:
        self.codes: list[str] = []

    def add(self, code: str) -> None:
        """Add the code of one fault.

        Raises:
            TooManyFaultsError: there are more than ``MAX_FAULTS``.
        """
        self.codes.append(code)
        if len(self.codes) > MAX_FAULTS:
            raise TooManyFaultsError


def signed(value: Any) -> float:
    """Return a number from ``-MAX_NUMBER`` to ``MAX_NUMBER``; raise MalformedValueError for anything else."""
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not -MAX_NUMBER <= value <= MAX_NUMBER
    ):
        raise MalformedValueError
    return value


def unsigned(value: Any) -> float:
    """Return a number from 0 to ``MAX_NUMBER``; raise MalformedValueError for anything else."""
    number = signed(value)
    if number < 0:
        raise MalformedValueError
    return number


def optional_unsigned(document: Mapping[str, Any], key: str) -> float | None:
    """Return a number that is not negative; None if the key is missing or its value is malformed.

    The value is optional, because the plain protocol has no such key.
    """
    try:
        return float(unsigned(document[key]))
    except MALFORMED_VALUE_ERRORS:
        return None
