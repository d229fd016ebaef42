"""States of a connection to a server."""

from __future__ import annotations

from enum import Enum, auto


class ConnectionState(Enum):
    """Whether a connection takes new streams, and what becomes of it.

    Transitions: OPEN to UNRESPONSIVE and back; OPEN or UNRESPONSIVE to RETIRING; each of these to CLOSING.
    """

    OPEN = auto()
    """It takes new streams, as far as it has capacity."""

    UNRESPONSIVE = auto()
    """A stream was cancelled after a long silence.  It takes no new streams until a response comes, and is
    aborted once the last stream in flight has ended."""

    RETIRING = auto()
    """The endpoint list no longer names its server at this address.  It takes no new streams and is closed
    once the last stream in flight has ended."""

    CLOSING = auto()
    """This side has closed or aborted it, or it has ended.  Bytes received are discarded."""
