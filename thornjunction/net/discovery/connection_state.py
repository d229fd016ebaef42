"""States of a watch's connection."""

from __future__ import annotations

from enum import Enum


class ConnectionState(Enum):
    """State of a connection that a watch polls on."""

    PAUSED = "paused"
    """No poll is open; the next one is sent after a pause."""

    POLLING = "polling"
    """A poll was sent; its response is awaited."""

    RESYNCHRONIZING = "resynchronizing"
    """A long response to the poll is being read and applied in parts."""

    CLOSING = "closing"
    """This side has closed the connection; the event loop has not reported its end yet."""
