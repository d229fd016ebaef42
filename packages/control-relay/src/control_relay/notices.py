"""The names of a relay's notices, which are events of the log (table in ``docs/ON-CALL.md``)."""

from __future__ import annotations

from enum import StrEnum


class RelayNotice(StrEnum):
    """What a relay reports to the log."""

    PURGES_MERGED = "purges_merged"
    """Too many purges were active; the oldest were replaced by purges of their groups."""
    RELAY_INPUT_REJECTED = "relay_input_rejected"
    """An event from the relay's upstream could not be applied."""
    RELAY_READY = "relay_ready"
    """The relay has a confirmed endpoint list and answers polls from now on."""
