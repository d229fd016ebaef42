"""The states of a client connection."""

from __future__ import annotations

from enum import Enum


class ConnectionState(Enum):
    """The state of a client connection, which never returns to an earlier one.

    A partly received request is not a state of its own: FastCGI multiplexes requests, so others may be open
    at the same time.  ``RequestTimes`` bounds the time until the request is complete.

    Attributes:
        reads_requests: whether received bytes are read as requests; otherwise they are discarded.
        has_ended: whether no more responses are written.
    """

    OPEN = "open"
    """Requests are read and answered."""
    OVER_CAPACITY = "over-capacity"
    """The table had no slot for the connection: its first requests are rejected, then it ends."""
    CLOSING = "closing"
    """Requests are read and answered until none is open; then the connection ends."""
    HALF_CLOSED = "half-closed"
    """Received bytes are discarded; earlier requests are answered, then the connection ends."""
    LINGERING = "lingering"
    """The sending side is shut down; received bytes are discarded until the client closes its side."""
    CLOSED = "closed"
    """The connection was reset, or the client has closed it."""

    def __init__(self, label: str) -> None:
        # Stored as attributes because each request reads them; looking up members by the class costs more.
        self.reads_requests = label in ("open", "over-capacity", "closing")
        self.has_ended = label in ("lingering", "closed")
