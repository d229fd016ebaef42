"""Merges the list events of a source into one complete list."""

from __future__ import annotations

from typing import Any

from control_client.events import EndpointListEvent


class EndpointListMerge:
    """A list that is being merged; changes before the first complete list are dropped.

    ``rejected`` counts endpoints beyond ``max_endpoints``.
    """

    def __init__(self, max_endpoints: int) -> None:
        self.rejected = 0
        self.is_complete = False
        self.has_dropped_changes = False
        self.endpoints: dict[str, Any] = {}
        self._max_endpoints = max_endpoints
        self._number = 0
        self._seq: int | None = None

    def clear(self) -> None:
        """Start a new list; the count of rejected endpoints is kept."""
        self.is_complete = False
        self.has_dropped_changes = False
        self.endpoints = {}
        self._number = 0
        self._seq = None

    def add(self, event: EndpointListEvent) -> None:
        """Merge the next event of the source."""
        if event.is_complete:
            self.is_complete = True
            self.endpoints = {}
        elif not self.is_complete:
            self.has_dropped_changes = True
            return
        self._number = event.number
        if event.seq is not None:
            self._seq = event.seq
        for name, endpoint in event.endpoints.items():
            self._merge_endpoint(name, endpoint)

    def result(self) -> EndpointListEvent:
        """Return the merged list as a complete list event."""
        return EndpointListEvent(self._number, self._seq, True, self.endpoints)

    def _merge_endpoint(self, name: str, endpoint: Any) -> None:
        if endpoint is None:
            self.endpoints.pop(name, None)
        elif name in self.endpoints or len(self.endpoints) < self._max_endpoints:
            self.endpoints[name] = endpoint
        else:
            self.rejected += 1
