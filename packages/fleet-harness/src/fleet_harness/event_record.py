"""The record of a run: all events in order, and the latest view of the fleet that each router logged."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from fleet_sim import EntryKind, TraceEntry, notice_text, render_trace
from sansio_core import Notice

from fleet_harness.router_process import EXIT_EVENT, TEXT_EVENT
from thornjunction.log_events import LogEvent

# Fields that each line of the log has beside the event's own.
LOG_FIELDS = frozenset({"level", "logger", "ts", "pid"})

# Events of the log that a timeline shows and that a scenario may expect, with their words in a scenario.
#
# What the membership reports has the names of its notices, as in a simulated fleet.
TRACED_EVENTS: dict[str, str] = {
    LogEvent.FLEET_BIND_FAILED: "fleet_bind_failed",
    LogEvent.FLEET_DATAGRAM_REJECTED: "refused",
    LogEvent.FLEET_LINK_CHANGED: "link",
    LogEvent.FLEET_MAJORITY_CHANGED: "majority",
    LogEvent.FLEET_MEMBER_CHANGED: "member",
    LogEvent.FLEET_MODE_CHANGED: "mode",
    LogEvent.FLEET_PROCESS_PAUSED: "paused",
    LogEvent.INCARNATION_UNKNOWN: "incarnation_unknown",
    LogEvent.INCARNATION_WRITE_FAILED: "incarnation_write_failed",
    LogEvent.LISTEN_FAILED: "listen_failed",
    EXIT_EVENT: EXIT_EVENT,
}

# Lines of a router's tracebacks that the timeline shows, the last ones.
MAX_TEXT_LINES = 8


@dataclass(slots=True)
class RouterView:
    """The view of the fleet that one router has logged since its process was started."""

    states: dict[str, str] = field(default_factory=dict)
    incarnations: dict[str, int] = field(default_factory=dict)
    events: set[str] = field(default_factory=set)
    has_majority: bool = False

    def alive_members(self) -> set[str]:
        """Return the members that the router last called alive."""
        return {name for name, state in self.states.items() if state == "alive"}


class EventRecord:
    """The entries of a timeline, and the ``views`` of the routers by name.

    ``clock_ms`` returns the milliseconds since the run started.
    """

    def __init__(self, clock_ms: Callable[[], float]) -> None:
        self.clock_ms = clock_ms
        self.entries: list[TraceEntry] = []
        self.views: dict[str, RouterView] = {}
        self.first_entries: dict[str, int] = {}  # index of the first entry of each router's process
        self._texts: dict[str, list[str]] = {}  # lines that are no events: tracebacks

    def add_start(self, name: str) -> None:
        """Record that a new process was started: nothing that an earlier one logged holds for it."""
        self.views[name] = RouterView()
        self.first_entries[name] = len(self.entries)
        self.add_process_change(name, "started")

    def add_process_change(self, name: str, text: str) -> None:
        """Record that a router's process was started, paused, continued or ended."""
        self.entries.append(TraceEntry(self.clock_ms(), EntryKind.PROCESS, name, text))

    def add_fault(self, text: str) -> None:
        """Record a fault that was injected."""
        self.entries.append(TraceEntry(self.clock_ms(), EntryKind.FAULT, "", text))

    def add_link_change(self, source: str, target: str, cut: bool) -> None:
        """Record that a link was cut or healed."""
        kind = EntryKind.LINK_CUT if cut else EntryKind.LINK_HEALED
        self.entries.append(TraceEntry(self.clock_ms(), kind, source, "", target))

    def add_log_entry(self, name: str, event: str, fields: Mapping[str, Any]) -> None:
        """Record one entry of a router's log."""
        view = self.views[name]
        view.events.add(event)
        if event == TEXT_EVENT or "exception" in fields:
            text = str(fields.get("line", fields.get("exception")))
            self._texts.setdefault(name, []).append(text)
        if event == LogEvent.FLEET_MEMBER_CHANGED:
            member = str(fields["name"])
            view.states[member] = str(fields["state"])
            view.incarnations[member] = int(fields["incarnation"])
        if event == LogEvent.FLEET_MAJORITY_CHANGED:
            view.has_majority = bool(fields["has_majority"])
        word = TRACED_EVENTS.get(event)
        if word is not None:
            event_fields = {key: value for key, value in fields.items() if key not in LOG_FIELDS}
            text = notice_text(Notice(word, event_fields))
            self.entries.append(TraceEntry(self.clock_ms(), EntryKind.NOTICE, name, text))

    def notices(self, name: str, first_entry: int) -> Iterator[str]:
        """Return the texts of what a router logged, from the entry of that index on."""
        for entry in self.entries[first_entry:]:
            if entry.kind is EntryKind.NOTICE and entry.node == name:
                yield entry.text

    def timeline(self) -> str:
        """Return the timeline as text, followed by the tracebacks."""
        drawn = render_trace(self.entries, sorted(self.views))
        texts = [
            f"-- {name} --\n" + "\n".join(lines[-MAX_TEXT_LINES:]) for name, lines in self._texts.items()
        ]
        return "\n".join([drawn, *texts])
