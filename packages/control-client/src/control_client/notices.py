"""The names of a source selector's notices, which are events of the log (table in ``docs/ON-CALL.md``)."""

from __future__ import annotations

from enum import StrEnum


class SelectorNotice(StrEnum):
    """What a source selector reports to the log."""

    SOURCE_FAILED = "source_failed"
    """The polled source has failed and is no longer polled."""
    SOURCE_SELECTED = "source_selected"
    """The selector has started to poll this source."""
