"""What a watch's connection is doing."""

from __future__ import annotations

from enum import Enum


class ConnectionState(Enum):
    """What a connection is doing."""

    PAUSED = "paused"
    """No poll is open; the next one follows after a pause."""

    POLLING = "polling"
    """A poll is open; its response is awaited."""

    RESYNCHRONIZING = "resynchronizing"
    """A long response to the open poll is read and applied in parts."""

    CLOSING = "closing"
    """The connection was closed by this side; its end is still to be reported."""
