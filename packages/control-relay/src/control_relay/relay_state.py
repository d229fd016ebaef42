"""The state received from the upstream: the current list, the active purges, and the log of events."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass

from sansio_core import Notice
from sansio_core.log_thinning import is_power_of_two

from control_relay.active_purges import (
    GROUP_COUNT,
    UNKNOWN_GROUP,
    ActivePurge,
    ActivePurges,
    PurgeTarget,
    parse_group,
    parse_target,
)
from control_relay.encoding import encode_list_event, encode_purge_event
from control_relay.endpoints import EndpointList
from control_relay.event_log import EventLog
from control_relay.events import EndpointListUpdate, PurgeReceived
from control_relay.low_water_marks import PropagatingPurge
from control_relay.notices import RelayNotice
from control_relay.settings import RelaySettings
from control_relay.validation import age_or_none, int_or_default, unix_ms_or_infinity

# If there are more than ``max_purges``, the oldest ``max_purges / MERGED_PURGES_DIVISOR`` are merged into
# purges of their groups.
MERGED_PURGES_DIVISOR = 4


@dataclass(frozen=True, slots=True)
class PurgeResult:
    """The purge that was added, None where it was redundant or unreadable, and notices about it."""

    purge: PropagatingPurge | None = None
    notices: tuple[Notice, ...] = ()


class RelayState:
    """Applies the upstream's events and numbers those that are new."""

    def __init__(self, settings: RelaySettings, first_number: int) -> None:
        self.endpoints = EndpointList(settings.max_endpoints)
        self.purges = ActivePurges()
        self.log = EventLog(first_number, settings.max_list_changes, settings.max_list_change_bytes)
        self.faults: Counter[str] = Counter()
        self._settings = settings

    def apply_list_update(self, event: EndpointListUpdate) -> list[Notice]:
        """Apply a complete list or a change; a complete list that equals the current one creates no event."""
        endpoints = self.endpoints
        rejected_before = endpoints.rejected
        seq = None if event.seq is None else int_or_default(event.seq)
        if event.is_complete:
            self._replace_list(event, seq)
        elif not endpoints.number:
            return self._count_fault("change-before-list")
        else:
            changed = endpoints.apply(event.endpoints, seq)
            data = encode_list_event(self.log.next_number, seq, False, changed)
            endpoints.assign_number(self.log.append_list_change(data, is_complete=False))
        if endpoints.rejected > rejected_before:
            return self._count_fault("host-line")
        return []

    def apply_purge(self, now: float, event: PurgeReceived) -> PurgeResult:
        """Add a purge unless one of the same target that is no older is active."""
        target = parse_target(event.key, event.group)
        if target is None:
            return PurgeResult(notices=tuple(self._count_fault("purge-form")))
        issued_unix_ms = unix_ms_or_infinity(event.issued_unix_ms)
        active = self.purges.get(target)
        if active is not None and active.is_as_late_as(issued_unix_ms):
            return PurgeResult()
        expires_at_ms = now + self._settings.purge_retention_ms - (age_or_none(event.age_ms) or 0.0)
        if expires_at_ms <= now:
            return PurgeResult()
        if active is not None:
            expires_at_ms = max(expires_at_ms, active.expires_at_ms)
        number = self._add_purge(target, parse_group(event.group), issued_unix_ms, expires_at_ms)
        notices: tuple[Notice, ...] = ()
        if len(self.purges) > self._settings.max_purges:
            notices = (self._merge_oldest_purges(now),)
        return PurgeResult(PropagatingPurge(number, target, issued_unix_ms, now), notices)

    def expire_purges(self, now: float) -> bool:
        """Remove the purges whose retention has ended; return whether there were any."""
        if self.purges.next_expiry_ms > now:
            return False
        for purge in self.purges.pop_expired(now):
            self.log.remove(purge.number)
        return True

    def _replace_list(self, event: EndpointListUpdate, seq: int | None) -> None:
        if self.endpoints.replace(event.endpoints, seq):
            self.endpoints.assign_number(self.log.next_number)
            self.log.append_list_change(self.endpoints.encoded_event(), is_complete=True)

    def _add_purge(self, target: PurgeTarget, group: int, issued_unix_ms: float, expires_at_ms: float) -> int:
        data = encode_purge_event(self.log.next_number, target, issued_unix_ms)
        number = self.log.append_purge(data)
        superseded = self.purges.add(ActivePurge(target, group, issued_unix_ms, number, expires_at_ms))
        if superseded is not None:
            self.log.supersede(superseded.number)
        return number

    def _merge_oldest_purges(self, now: float) -> Notice:
        """Replace the oldest purges of objects by purges of their groups, which bounds memory.

        Where an object's group is unknown all groups are purged, so that no purge is lost.
        """
        oldest = self.purges.oldest_objects(max(1, self._settings.max_purges // MERGED_PURGES_DIVISOR))
        latest_by_group: dict[int, float] = {}
        for purge in oldest:
            self.purges.remove(purge)
            self.log.supersede(purge.number)
            groups = range(GROUP_COUNT) if purge.group == UNKNOWN_GROUP else (purge.group,)
            for group in groups:
                latest = latest_by_group.get(group, -math.inf)
                latest_by_group[group] = max(latest, purge.issued_unix_ms)
        for group, issued_unix_ms in latest_by_group.items():
            active = self.purges.get(group)
            if active is None or not active.is_as_late_as(issued_unix_ms):
                self._add_purge(group, group, issued_unix_ms, now + self._settings.purge_retention_ms)
        return Notice(RelayNotice.PURGES_MERGED, {"objects": len(oldest), "groups": len(latest_by_group)})

    def _count_fault(self, code: str) -> list[Notice]:
        """Count a fault; return a notice of the 1st, 2nd, 4th, 8th and so on, so that the log stays short."""
        self.faults[code] += 1
        count = self.faults[code]
        if not is_power_of_two(count):
            return []
        return [Notice(RelayNotice.RELAY_INPUT_REJECTED, {"code": code, "count": count})]
