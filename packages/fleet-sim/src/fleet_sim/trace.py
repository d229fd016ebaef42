"""The trace of a run: its occurrences in order, which ``trace_rendering`` draws as a timeline."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from sansio_core import Notice


class EntryKind(Enum):
    """The kind of an entry, which determines how it is drawn."""

    # A process starts, pauses, continues or ends.
    PROCESS = "process"
    # A fault of one node or of all nodes begins or ends, or a step of a scenario is carried out.
    FAULT = "fault"
    # A link stops carrying datagrams.
    LINK_CUT = "link cut"
    # A link carries datagrams again.
    LINK_HEALED = "link healed"
    # A described message that will arrive.
    SENT = "sent"
    # A described message that will not arrive.
    LOST = "lost"
    # A notice of a state machine.
    NOTICE = "notice"


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
