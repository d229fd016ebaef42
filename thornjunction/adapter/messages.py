"""Lines of the wire: their split into fields, and the conversion of fields to values."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from thornjunction import interface as api
from thornjunction.adapter.errors import InvalidFieldError, MalformedFieldError, MissingFieldError

# Fields whose value runs to the end of the line.
TEXT_FIELDS = ("params", "bodyText")

# Values of a flag.
FLAGS = {"1": True, "0": False}

# Values of a message by field.
Fields = dict[str, str]

Value = TypeVar("Value")
Default = TypeVar("Default")


@dataclass(frozen=True, slots=True)
class Message:
    """One line of the wire.

    Attributes:
        name: its first word.
        fields: its values by field.
    """

    name: str
    fields: Fields


def parse_line(line: str) -> Message:
    """Split a line into its message's name and fields.

    Raises:
        WireError: the line is malformed.
    """
    name, _, remaining_text = line.partition(" ")
    fields: Fields = {}
    while remaining_text:
        field, equals, tail = remaining_text.partition("=")
        if not equals or not field or " " in field:
            raise MalformedFieldError(remaining_text, name)
        if field in TEXT_FIELDS:
            fields[field] = tail
            break
        fields[field], _, remaining_text = tail.partition(" ")
    return Message(name, fields)


def required(fields: Fields, name: str, convert: Callable[[str], Value]) -> Value:
    """Return the value of a field.

    Raises:
        WireError: the field is missing or does not convert.
    """
    if name not in fields:
        raise MissingFieldError(name)
    try:
        return convert(fields[name])
    except (KeyError, ValueError) as error:
        raise InvalidFieldError(name, fields[name]) from error


def optional(fields: Fields, name: str, convert: Callable[[str], Value], default: Default) -> Value | Default:
    """Return the value of a field, or the default where it is missing.

    Raises:
        WireError: the field does not convert.
    """
    return required(fields, name, convert) if name in fields else default


def parse_flag(text: str) -> bool:
    """Convert a flag, 0 or 1.

    Raises:
        KeyError: it is another text.
    """
    return FLAGS[text]


def parse_fill_result(text: str) -> api.FillResult:
    """Convert the number of a fill result.

    Raises:
        ValueError: the number is not known.
    """
    return api.FillResult(int(text))


def parse_integer(text: str) -> int:
    """Convert a whole number that may be written with a fraction, which is dropped."""
    return int(float(text))
