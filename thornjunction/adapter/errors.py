"""Errors of malformed input; each ends the run."""

from __future__ import annotations

from thornjunction.settings import WireError

# Characters of a malformed text that an error shows.
MAX_SHOWN_CHARACTERS = 80


class MalformedFieldError(WireError):
    """A part of a line that is not ``name=value``."""

    def __init__(self, text: str, message_name: str) -> None:
        super().__init__(f"malformed field {text[:MAX_SHOWN_CHARACTERS]!r} in {message_name!r}")


class MissingFieldError(WireError):
    """A message without a field that it needs."""

    def __init__(self, name: str) -> None:
        super().__init__(f"missing field {name!r}")


class InvalidFieldError(WireError):
    """A field whose value has no meaning."""

    def __init__(self, name: str, text: str) -> None:
        super().__init__(f"bad value {text[:MAX_SHOWN_CHARACTERS]!r} of field {name!r}")


class InvalidReportError(WireError):
    """A load report that is not a list of numbers."""

    def __init__(self, text: str) -> None:
        super().__init__(f"bad load report {text[:MAX_SHOWN_CHARACTERS]!r}")


class UnexpectedMessageError(WireError):
    """A message at a place where it may not stand."""

    def __init__(self, message_name: str, place: str) -> None:
        super().__init__(f"{message_name!r} {place}")


class IncompleteListError(WireError):
    """A batch that ends before its list does."""

    def __init__(self, missing_entries: int) -> None:
        super().__init__(f"a list lacks {missing_entries} entries")


class UnknownListError(WireError):
    """A reference to a list of servers that was never sent."""

    def __init__(self) -> None:
        super().__init__("a list that was never sent")
