"""The states of a process from its start to its exit."""

from __future__ import annotations

from enum import Enum, auto


class Lifecycle(Enum):
    """In order; a state may be skipped, and none is entered twice."""

    STARTING = auto()
    """Not serving yet: the first list of endpoints is awaited."""
    SERVING = auto()
    SHUTTING_DOWN = auto()
    """What was accepted is answered."""
    STOPPED = auto()
    """Nothing is owed to anybody."""
