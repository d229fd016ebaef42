"""The states of a router or relay process from its start to its exit."""

from __future__ import annotations

from enum import Enum, auto


class Lifecycle(Enum):
    """The states in their order; a process may skip a state but never returns to an earlier one.

    Attributes:
        STARTING: the process does not serve yet; a router waits for its first endpoint list.
        SERVING: it accepts clients.
        SHUTTING_DOWN: it answers the requests that it has accepted, and then exits.
        STOPPED: it does no more work and is about to exit.
    """

    STARTING = auto()
    SERVING = auto()
    SHUTTING_DOWN = auto()
    STOPPED = auto()
