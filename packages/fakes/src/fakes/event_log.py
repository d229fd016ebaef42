"""The numbered events of a fake discovery, and the polls that request them.

All fake discoveries use this module, whatever their event loop.
"""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

# A JSON object: an event with its number under ``cursor``, or an entry of a list.
JsonObject = dict[str, Any]


@dataclass(frozen=True, slots=True)
class WatchPoll:
    """A poll of a router or relay.

    Attributes:
        resume: the number of the last event that the poller has.
        block_ms: upper bound on the time that the poll is kept open while there is no later event.
    """

    resume: int
    block_ms: float


def parse_query(target: str) -> dict[str, str]:
    """Return the query parameters of a request target, with the first value of a repeated one."""
    return {name: values[0] for name, values in parse_qs(urlsplit(target).query).items()}


def parse_poll(target: str) -> WatchPoll:
    """Parse the request target of a poll; a missing parameter counts as 0."""
    query = parse_query(target)
    return WatchPoll(int(query.get("resume", "0")), float(query.get("block", "0")))


def encode_events(events: Sequence[Mapping[str, object]], cursor: int) -> bytes:
    """Encode the body of an answer to a poll."""
    return json.dumps({"cursor": cursor, "cmds": list(events)}).encode()


class EventLog:
    """The events that a discovery has published, numbered from 1."""

    def __init__(self) -> None:
        self.events: list[JsonObject] = []

    @property
    def cursor(self) -> int:
        """The number of the last event; 0 before the first one."""
        return len(self.events)

    def append(self, event: Mapping[str, object]) -> None:
        """Add an event with the next number."""
        self.events.append({"cursor": self.cursor + 1, **event})

    def clear(self) -> None:
        """Remove all events; the next event gets number 1."""
        self.events = []

    def has_events_after(self, resume: int) -> bool:
        """Return whether there are events with a number above ``resume``."""
        return self.cursor > resume

    def encode_events_after(self, resume: int) -> bytes:
        """Encode the body of an answer with all events after ``resume``."""
        return encode_events(self.events[resume:], self.cursor)
