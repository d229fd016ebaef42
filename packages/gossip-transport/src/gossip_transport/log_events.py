"""The events that the endpoint logs (table in ``docs/ON-CALL.md``)."""

from __future__ import annotations

from enum import StrEnum


class TransportLogEvent(StrEnum):
    """The events that the endpoint itself logs."""

    DATAGRAM_OVERSIZED = "datagram_oversized"
    """An outgoing datagram of the fleet exceeds the size limit and is not sent."""
    ENDPOINT_FAILED = "endpoint_failed"
    """A step of the fleet's UDP endpoint raised an exception; the process continues."""
