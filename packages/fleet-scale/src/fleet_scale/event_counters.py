"""Counters of the events that hollow routers received, by the number of the event."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from fleet_scale.event_plan import EventKind

# Purge numbers by which the record of a router grows at least.
MIN_GROWTH_NUMBERS = 1024


class Delivery(msgspec.Struct):
    """How many routers received one event, and when the first and the last did, on the monotonic clock."""

    router_count: int
    first_s: float
    last_s: float


class DeliveryCounters:
    """The deliveries to all routers of one process."""

    def __init__(self) -> None:
        self._deliveries: Mapping[EventKind, dict[int, Delivery]] = {kind: {} for kind in EventKind}

    def record(self, kind: EventKind, number: int, now_s: float) -> None:
        """Count that one more router received an event."""
        deliveries = self._deliveries[kind]
        known = deliveries.get(number)
        if known is None:
            deliveries[number] = Delivery(1, now_s, now_s)
        else:
            known.router_count += 1
            known.last_s = now_s

    def between(self, kind: EventKind, first: int, end: int) -> dict[int, Delivery]:
        """The deliveries of the numbers from ``first`` on and below ``end``."""
        deliveries = self._deliveries[kind]
        return {number: deliveries[number] for number in range(first, end) if number in deliveries}


def merge_deliveries(parts: Iterable[Mapping[int, Delivery]]) -> dict[int, Delivery]:
    """Combine the deliveries of several processes."""
    merged: dict[int, Delivery] = {}
    for part in parts:
        for number, delivery in part.items():
            known = merged.setdefault(number, Delivery(0, delivery.first_s, delivery.last_s))
            known.router_count += delivery.router_count
            known.first_s = min(known.first_s, delivery.first_s)
            known.last_s = max(known.last_s, delivery.last_s)
    return merged


class PurgeObservations:
    """The purges that one router received; a number that comes again counts as repeated."""

    def __init__(self) -> None:
        self._is_known = bytearray()
        self.count = 0
        self.repeated = 0
        self.highest = -1

    def add(self, number: int) -> bool:
        """Record a purge and return whether it is new."""
        if number >= len(self._is_known):
            missing = number + 1 - len(self._is_known)
            self._is_known.extend(bytes(max(missing, MIN_GROWTH_NUMBERS)))
        if self._is_known[number]:
            self.repeated += 1
            return False
        self._is_known[number] = 1
        self.count += 1
        self.highest = max(self.highest, number)
        return True
