"""The states of a client connection."""

from __future__ import annotations

from enum import Enum


class ConnectionState(Enum):
    """How far a client connection is from its end; it never returns to an earlier state.

    A request that has come in part is no state of its own: FastCGI multiplexes, so the connection may have
    other requests open meanwhile.  ``RequestTimes`` bounds the time that it takes.

    Attributes:
        reads_requests: whether bytes that arrive are read as requests; else they are discarded.
        has_ended: whether responses are no longer owed, and none is written.
    """

    OPEN = "open"
    """Requests are read and answered."""
    OVER_CAPACITY = "over-capacity"
    """The table had no slot for the connection: its first requests are rejected, then it ends."""
    CLOSING = "closing"
    """Requests are read and answered until none is open; then the connection ends."""
    HALF_CLOSED = "half-closed"
    """Bytes that arrive are discarded; requests that came before are answered, then the connection ends."""
    LINGERING = "lingering"
    """The sending side is shut; bytes that arrive are discarded until the client closes its side."""
    CLOSED = "closed"
    """The connection was cut off, or the client has closed it."""

    def __init__(self, label: str) -> None:
        # Attributes of the member: on each request, looking up a member by its class would cost more.
        self.reads_requests = label in ("open", "over-capacity", "closing")
        self.has_ended = label in ("lingering", "closed")
