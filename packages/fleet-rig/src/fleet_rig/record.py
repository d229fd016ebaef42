"""What a run of the rig leaves behind: all events in order, and what each router last said of the others."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from fleet_sim import Entry, Kind, render

NOTED = "member", "link", "majority", "mode", "paused", "refused", "exit"
ODD = "fleet-waits", "cannot-listen", "incarnation-unknown", "incarnation-not-kept"
FIELDS = (
    "name",
    "state",
    "incarnation",
    "link",
    "held",
    "mode",
    "late_ms",
    "why",
    "reason",
    "code",
    "times",
)  # drawn, in order


@dataclass(slots=True)
class Known:
    """What one router said since it started: members' states and incarnations, the rest by event."""

    states: dict[str, str] = field(default_factory=dict)
    incarnations: dict[str, int] = field(default_factory=dict)
    last: dict[str, Mapping[str, Any]] = field(default_factory=dict)
    refused: dict[str, int] = field(default_factory=dict)
    failed: set[str] = field(default_factory=set)  # those that it ever called failed


class Record:
    """Entries for a timeline; ``known`` by router; ``clock`` in ms from the run's start."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock, self.entries = clock, list[Entry]()
        self.known: dict[str, Known] = {}
        self.texts: dict[str, list[str]] = {}  # lines that were no events: a fault's traceback

    def begin(self, name: str) -> None:
        """A new life knows nothing of what the one before it said."""
        self.known[name] = Known()
        self.life(name, "started")

    def life(self, name: str, text: str) -> None:
        self.entries.append(Entry(self.clock(), Kind.LIFE, name, text))

    def fault(self, text: str) -> None:
        self.entries.append(Entry(self.clock(), Kind.FAULT, "", text))

    def heard(self, name: str, event: str, fields: Mapping[str, Any]) -> None:
        """One line of a router's log."""
        known = self.known[name]
        known.last[event] = fields
        if event == "text" or fields.get("exception"):
            self.texts.setdefault(name, []).append(str(fields.get("line", fields.get("exception"))))
        if event == "member":
            self._member(known, str(fields["name"]), str(fields["state"]).lower(), fields)
        elif event == "refused":
            why = str(fields.get("why"))
            known.refused[why] = max(known.refused.get(why, 0), int(fields.get("times", 1)))
        if event in NOTED or event in ODD:
            text = " ".join([event, *(str(fields[key]) for key in FIELDS if key in fields)])
            self.entries.append(Entry(self.clock(), Kind.TOLD, name, text))

    def _member(self, known: Known, name: str, state: str, fields: Mapping[str, Any]) -> None:
        known.states[name] = state
        known.incarnations[name] = int(fields["incarnation"])
        if state == "failed":
            known.failed.add(name)

    def timeline(self) -> str:
        """All of it as text, and below it what was no event."""
        drawn = render(self.entries, sorted(self.known))
        said = [f"-- {name} --\n" + "\n".join(lines[-8:]) for name, lines in self.texts.items()]
        return "\n".join([drawn, *said])
