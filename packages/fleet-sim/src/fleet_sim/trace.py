"""What a run leaves behind for its timeline."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from sansio_core import Notice


class Kind(Enum):
    """What an entry is about; it decides how the entry is drawn."""

    LIFE = "life"  # a process starts, stops, continues, ends
    FAULT = "fault"  # a fault of one node, or of none (drawn across)
    BROKEN = "broken"  # a link stops carrying
    HEALED = "healed"  # a link carries again
    SENT = "sent"  # a message of note that will arrive
    LOST = "lost"  # a message of note that will not
    TOLD = "told"  # a machine said so


@dataclass(frozen=True, slots=True)
class Entry:
    """One thing that happened: at simulated ms, at `node` ("" = all), towards `other` if a link's."""

    at: float
    kind: Kind
    node: str
    text: str
    other: str = ""


def told_text(told: Notice) -> str:
    """The event's name and the values of its fields in their order: `member c failed 1 timeout`."""
    return " ".join([told.name, *(_word(value) for value in told.fields.values())])


def _word(value: str | float) -> str:
    text = f"{value:g}" if isinstance(value, float) else str(value)
    return text.replace(" ", "_").lower()
