"""What a run of the rig leaves behind: all events in order, and what each router last said of the others."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from fleet_sim import EntryKind, TraceEntry, notice_text, render_trace
from sansio_core import Notice

OF_THE_LOG = "level", "logger", "ts", "pid"  # what each line has beside the event's own fields
NOTED = {"member", "link", "majority", "mode", "paused", "refused", "exit", "fleet-waits", "cannot-listen"}
NOTED |= {"incarnation-unknown", "incarnation-not-kept"}
LAST_TEXTS = 8  # lines of a traceback that are shown


@dataclass(slots=True)
class Known:
    """What one router said of the others since it started."""

    states: dict[str, str] = field(default_factory=dict)
    incarnations: dict[str, int] = field(default_factory=dict)
    events: set[str] = field(default_factory=set)
    majority: bool = False


class Record:
    """Entries for a timeline; ``known`` by router; ``clock`` in ms from the run's start."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock, self.entries = clock, list[TraceEntry]()
        self.known: dict[str, Known] = {}
        self.begun: dict[str, int] = {}  # the entry at which each router's life began
        self.texts: dict[str, list[str]] = {}  # lines that were no events: a fault's traceback

    def begin(self, name: str) -> None:
        """A new life knows nothing of what the one before it said."""
        self.known[name] = Known()
        self.begun[name] = len(self.entries)
        self.life(name, "started")

    def life(self, name: str, text: str) -> None:
        self.entries.append(TraceEntry(self.clock(), EntryKind.PROCESS, name, text))

    def fault(self, text: str) -> None:
        self.entries.append(TraceEntry(self.clock(), EntryKind.FAULT, "", text))

    def link(self, source: str, target: str, cut: bool) -> None:
        kind = EntryKind.LINK_CUT if cut else EntryKind.LINK_HEALED
        self.entries.append(TraceEntry(self.clock(), kind, source, "", target))

    def heard(self, name: str, event: str, fields: Mapping[str, Any]) -> None:
        """One line of a router's log."""
        known = self.known[name]
        known.events.add(event)
        if event == "text" or "exception" in fields:
            self.texts.setdefault(name, []).append(str(fields.get("line", fields.get("exception"))))
        if event == "member":
            known.states[str(fields["name"])] = str(fields["state"])
            known.incarnations[str(fields["name"])] = int(fields["incarnation"])
        if event == "majority":
            known.majority = bool(fields["held"])
        if event in NOTED:
            told = Notice(event, {key: value for key, value in fields.items() if key not in OF_THE_LOG})
            self.entries.append(TraceEntry(self.clock(), EntryKind.NOTICE, name, notice_text(told)))

    def told(self, name: str, since: int) -> Iterator[str]:
        """What one router said, from an entry on."""
        return (e.text for e in self.entries[since:] if e.kind is EntryKind.NOTICE and e.node == name)

    def timeline(self) -> str:
        """All of it as text, and below it what was no event."""
        drawn = render_trace(self.entries, sorted(self.known))
        said = [f"-- {name} --\n" + "\n".join(lines[-LAST_TEXTS:]) for name, lines in self.texts.items()]
        return "\n".join([drawn, *said])
