"""The record of a run: all events in order, and each router's latest view of the fleet."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from fleet_sim import EntryKind, TraceEntry, notice_text, render_trace
from sansio_core import Notice

from fleet_harness.router_process import EXIT_EVENT, TEXT_EVENT
from thornjunction.log_events import LogEvent

# Fields that every log entry has beside those of its event.
LOG_FIELDS = frozenset({"level", "logger", "ts", "pid"})

# Log events that a timeline shows and that a scenario may expect, with their names in a scenario.
#
# Events of the membership have the names of its notices, as in a simulated fleet.
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

# The last lines of a router's tracebacks that the timeline shows.
MAX_TEXT_LINES = 8


@dataclass(slots=True)
class RouterView:
    """The view of the fleet that one router process has logged since its start."""

    states: dict[str, str] = field(default_factory=dict)
    incarnations: dict[str, int] = field(default_factory=dict)
    events: set[str] = field(default_factory=set)
    has_majority: bool = False

    def alive_members(self) -> set[str]:
        """Return the members whose last logged state is alive."""
        return {name for name, state in self.states.items() if state == "alive"}


class EventRecord:
    """The ``entries`` of a timeline, and the ``views`` of the routers by name.

    ``clock_ms`` returns the milliseconds since the run started.
    """

    def __init__(self, clock_ms: Callable[[], float]) -> None:
        self.clock_ms = clock_ms
        self.entries: list[TraceEntry] = []
        self.views: dict[str, RouterView] = {}
        self.first_entries: dict[str, int] = {}  # index of the first entry of each router's process
        self._texts: dict[str, list[str]] = {}  # log lines that are not events, such as tracebacks

    def add_start(self, name: str) -> None:
        """Record that a new process was started, and reset the view that an earlier one has logged."""
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
        """Record a router's log entry, and update its view if the entry is about the membership."""
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
        """Yield the texts of a router's notices, beginning at the entry with index ``first_entry``."""
        for entry in self.entries[first_entry:]:
            if entry.kind is EntryKind.NOTICE and entry.node == name:
                yield entry.text

    def timeline(self) -> str:
        """Return the timeline as text, followed by the tracebacks of each router."""
        rendered = render_trace(self.entries, sorted(self.views))
        texts = [
            f"-- {name} --\n" + "\n".join(lines[-MAX_TEXT_LINES:]) for name, lines in self._texts.items()
        ]
        return "\n".join([rendered, *texts])
