"""The states of a process from its start to its exit."""

from __future__ import annotations

from enum import Enum, auto


class Lifecycle(Enum):
    """The states in their order; a process may skip a state, and never returns to an earlier one.

    Attributes:
        STARTING: the process waits for its first endpoint list and does not serve yet.
        SERVING: it accepts clients.
        SHUTTING_DOWN: it answers the requests that it accepted, and exits then.
        STOPPED: no request is open any more.
    """

    STARTING = auto()
    SERVING = auto()
    SHUTTING_DOWN = auto()
    STOPPED = auto()
