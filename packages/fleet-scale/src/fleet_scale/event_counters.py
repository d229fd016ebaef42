"""Records of the events that hollow routers received, by the number of the event."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from fleet_scale.event_plan import EventKind

# Smallest step, in purge numbers, by which the record of a router grows.
MIN_GROWTH_NUMBERS = 1024


class Delivery(msgspec.Struct):
    """How many routers received an event, and when the first and the last did, on the monotonic clock."""

    router_count: int
    first_s: float
    last_s: float


class DeliveryCounters:
    """Deliveries of events to all hollow routers of one process."""

    def __init__(self) -> None:
        self._deliveries: Mapping[EventKind, dict[int, Delivery]] = {kind: {} for kind in EventKind}

    def record(self, kind: EventKind, number: int, now_s: float) -> None:
        """Record that a router received an event at ``now_s`` of the monotonic clock."""
        deliveries = self._deliveries[kind]
        existing = deliveries.get(number)
        if existing is None:
            deliveries[number] = Delivery(1, now_s, now_s)
        else:
            existing.router_count += 1
            existing.last_s = now_s

    def in_range(self, kind: EventKind, first: int, end: int) -> dict[int, Delivery]:
        """Return the deliveries of the events with numbers from ``first`` to ``end - 1``, by number."""
        deliveries = self._deliveries[kind]
        return {number: deliveries[number] for number in range(first, end) if number in deliveries}


def merge_deliveries(parts: Iterable[Mapping[int, Delivery]]) -> dict[int, Delivery]:
    """Merge the deliveries that several processes recorded."""
    merged: dict[int, Delivery] = {}
    for part in parts:
        for number, delivery in part.items():
            total = merged.setdefault(number, Delivery(0, delivery.first_s, delivery.last_s))
            total.router_count += delivery.router_count
            total.first_s = min(total.first_s, delivery.first_s)
            total.last_s = max(total.last_s, delivery.last_s)
    return merged


class ReceivedPurges:
    """The purges that one router received; a number received again counts as repeated."""

    def __init__(self) -> None:
        self._is_received = bytearray()
        self.count = 0
        self.repeated = 0
        self.highest = -1

    def add(self, number: int) -> bool:
        """Record a purge and return whether it is new."""
        if number >= len(self._is_received):
            missing = number + 1 - len(self._is_received)
            self._is_received.extend(bytes(max(missing, MIN_GROWTH_NUMBERS)))
        if self._is_received[number]:
            self.repeated += 1
            return False
        self._is_received[number] = 1
        self.count += 1
        self.highest = max(self.highest, number)
        return True
