"""Errors of malformed input; each of them ends the run."""

from __future__ import annotations

from thornjunction.settings import WireError

# Greatest number of characters of a malformed text that an error shows.
MAX_SHOWN_CHARACTERS = 80


class MalformedFieldError(WireError):
    """A part of a line does not have the form ``name=value``."""

    def __init__(self, text: str, message_name: str) -> None:
        super().__init__(f"malformed field {text[:MAX_SHOWN_CHARACTERS]!r} in {message_name!r}")


class MissingFieldError(WireError):
    """A message lacks a required field."""

    def __init__(self, name: str) -> None:
        super().__init__(f"missing field {name!r}")


class InvalidFieldError(WireError):
    """A field has a value that cannot be converted or is not known."""

    def __init__(self, name: str, text: str) -> None:
        super().__init__(f"bad value {text[:MAX_SHOWN_CHARACTERS]!r} of field {name!r}")


class InvalidReportError(WireError):
    """A load report is not a list of numbers."""

    def __init__(self, text: str) -> None:
        super().__init__(f"bad load report {text[:MAX_SHOWN_CHARACTERS]!r}")


class UnexpectedMessageError(WireError):
    """A message is not allowed at its place in the input."""

    def __init__(self, message_name: str, place: str) -> None:
        super().__init__(f"unexpected message {message_name!r} {place}")


class IncompleteListError(WireError):
    """A batch ends before its list of servers is complete."""

    def __init__(self, missing_entries: int) -> None:
        super().__init__(f"batch ended while a list of servers lacks {missing_entries} entries")


class UnknownListError(WireError):
    """A message refers to a list of servers that was never sent."""

    def __init__(self) -> None:
        super().__init__("reference to a list of servers that was never sent")
