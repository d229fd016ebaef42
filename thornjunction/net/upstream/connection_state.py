"""The states of a connection to a server."""

from __future__ import annotations

from enum import Enum, auto


class ConnectionState(Enum):
    """Whether a connection takes new streams or is closing.

    Transitions: OPEN to UNRESPONSIVE and back; OPEN or UNRESPONSIVE to RETIRING; each of these to CLOSING.
    """

    OPEN = auto()
    """The connection takes new streams as long as it has capacity."""

    UNRESPONSIVE = auto()
    """A stream was cancelled after a long time without a response.  The connection takes no new streams until
    a response arrives, and is aborted once the last stream in flight has ended."""

    RETIRING = auto()
    """The endpoint list no longer contains the server at this address.  The connection takes no new streams
    and is closed once the last stream in flight has ended."""

    CLOSING = auto()
    """This side has closed or aborted the connection, or it has ended.  Received bytes are discarded."""
