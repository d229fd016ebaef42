"""The events that the endpoint logs (table in ``docs/ON-CALL.md``)."""

from __future__ import annotations

from enum import StrEnum


class TransportLogEvent(StrEnum):
    """What the endpoint reports to the log itself."""

    DATAGRAM_OVERSIZED = "datagram_oversized"
    """A datagram of the fleet exceeds its size limit and is not sent."""
    ENDPOINT_FAILED = "endpoint_failed"
    """A step of the fleet's endpoint raised an exception; the process goes on."""
