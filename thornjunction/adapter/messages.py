"""Lines of the wire: their separation into fields, and the conversion of fields to values."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from thornjunction import interface as api
from thornjunction.adapter.errors import InvalidFieldError, MalformedFieldError, MissingFieldError

# Fields whose value runs to the end of the line.
TEXT_FIELDS = ("params", "bodyText")

# Values of a flag by its text.
FLAGS = {"1": True, "0": False}

# Texts of a message's fields by name.
Fields = dict[str, str]

Value = TypeVar("Value")
Default = TypeVar("Default")


@dataclass(frozen=True, slots=True)
class Message:
    """One line of the wire.

    Attributes:
        name: its first word.
        fields: the texts of its fields by name.
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
    """Return the converted value of a required field.

    Raises:
        WireError: the field is missing or cannot be converted.
    """
    if name not in fields:
        raise MissingFieldError(name)
    try:
        return convert(fields[name])
    except (KeyError, ValueError) as error:
        raise InvalidFieldError(name, fields[name]) from error


def optional(fields: Fields, name: str, convert: Callable[[str], Value], default: Default) -> Value | Default:
    """Return the converted value of a field; the default if the field is missing.

    Raises:
        WireError: the field cannot be converted.
    """
    return required(fields, name, convert) if name in fields else default


def parse_flag(text: str) -> bool:
    """Convert a flag, 0 or 1.

    Raises:
        KeyError: the text is neither.
    """
    return FLAGS[text]


def parse_fill_result(text: str) -> api.FillResult:
    """Convert the number of a fill result.

    Raises:
        ValueError: the text is no number, or not that of a fill result.
    """
    return api.FillResult(int(text))


def parse_integer(text: str) -> int:
    """Convert a number to an integer; a fraction is truncated."""
    return int(float(text))
