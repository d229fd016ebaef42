"""The trace of a run: what happened, in order; ``trace_rendering`` draws it as a timeline."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from sansio_core import Notice


class EntryKind(Enum):
    """What an entry is about, which decides how it is drawn."""

    PROCESS = "process"
    """A process starts, pauses, continues or ends."""
    FAULT = "fault"
    """A fault of one node, or of all."""
    LINK_CUT = "link cut"
    """A link stops carrying datagrams."""
    LINK_HEALED = "link healed"
    """A link carries datagrams again."""
    SENT = "sent"
    """A notable message that will arrive."""
    LOST = "lost"
    """A notable message that will not arrive."""
    NOTICE = "notice"
    """A notice of a state machine."""


@dataclass(frozen=True, slots=True)
class TraceEntry:
    """One occurrence at simulated time ``at_ms``.

    ``node`` is empty if it concerns all nodes; ``peer`` is the other end of a link.
    """

    at_ms: float
    kind: EntryKind
    node: str
    text: str
    peer: str = ""


def notice_text(notice: Notice) -> str:
    """Return a notice's name and the values of its fields in order, such as ``member c failed 1 timeout``."""
    return " ".join([notice.name, *(_value_text(value) for value in notice.fields.values())])


def _value_text(value: str | float) -> str:
    text = f"{value:g}" if isinstance(value, float) else str(value)
    return text.replace(" ", "_").lower()
