"""What an upstream told: the list as it stands, the purges that hold, and the log that comes of them."""

from __future__ import annotations

import math
from collections import Counter

from sansio_core import Notice

from control_relay.encoding import age_of, list_event, purge_event, whole_number
from control_relay.log import Log
from control_relay.marks import Record
from control_relay.purges import GROUPS, Purge, Purges, What, time_of, what_of
from control_relay.seam import ListTold, PurgeTold, RelayAction
from control_relay.settings import RelaySettings
from control_relay.shelves import Shelves


class State:
    def __init__(self, settings: RelaySettings, base: int) -> None:
        self.settings = settings
        self.log = Log(base, settings.most_changes, settings.most_change_bytes)
        self.shelves, self.purges = Shelves(settings.most_shelfs), Purges()
        self.faults: Counter[str] = Counter()

    def list_told(self, event: ListTold) -> list[RelayAction]:
        """Number what is new of it."""
        shelves, before = self.shelves, self.shelves.passed_over
        seq = None if event.seq is None else whole_number(event.seq)
        if event.whole:
            if shelves.whole(event.hosts, seq):
                shelves.numbered(self.log.head + 1)
                self.log.add_change(lambda number: shelves.event(), True)
        elif not shelves.number:
            return self._fault("change-before-list")
        else:
            lines = shelves.change(event.hosts, seq)
            shelves.numbered(self.log.add_change(lambda n: list_event(n, seq, False, lines), False))
        return self._fault("host-line") if shelves.passed_over > before else []

    def purge_told(self, now: float, event: PurgeTold) -> tuple[list[RelayAction], Record | None]:
        """Number it if it is new: no purge of the same with this time or a later one holds."""
        what = what_of(event.key, event.family)
        if what is None:
            return self._fault("purge-form"), None
        when_ms = time_of(event.when_ms)
        old = self.purges.get(what)
        if old is not None and when_ms <= old.when_ms < math.inf:
            return [], None
        until = now + self.settings.hold_ms - (age_of(event.age_ms) or 0.0)
        if until <= now:
            return [], None
        if old is not None:
            until = max(until, old.until)
        group = whole_number(event.family, -1)
        number = self._add_purge(what, group if 0 <= group < GROUPS else -1, when_ms, until)
        actions: list[RelayAction] = []
        if len(self.purges) > self.settings.most_purges:
            actions = self._join(now)
        return actions, Record(number, what, when_ms, now)

    def expire(self, now: float) -> None:
        for purge in self.purges.passed(now):
            self.log.drop(purge.number)

    def _add_purge(self, what: What, group: int, when_ms: float, until: float) -> int:
        key, family = (what, -1) if isinstance(what, str) else (None, what)
        number = self.log.add_purge(lambda n: purge_event(n, key, family, when_ms))
        old = self.purges.add(Purge(what, group, when_ms, number, until))
        if old is not None:
            self.log.retire(old.number)
        return number

    def _join(self, now: float) -> list[RelayAction]:
        """Guards memory: the oldest purges of objects become purges of their groups, or of all groups where
        the group is not known, so that none is lost."""
        oldest = self.purges.oldest_objects(max(1, self.settings.most_purges // 4))
        latest: dict[int, float] = {}
        for purge in oldest:
            self.purges.remove(purge)
            self.log.retire(purge.number)
            for group in range(GROUPS) if purge.group < 0 else (purge.group,):
                latest[group] = max(latest.get(group, -math.inf), purge.when_ms)
        for group, when_ms in latest.items():
            held = self.purges.get(group)
            if held is None or not when_ms <= held.when_ms < math.inf:
                self._add_purge(group, group, when_ms, now + self.settings.hold_ms)
        return [Notice("purges-joined", {"objects": len(oldest), "groups": len(latest)})]

    def _fault(self, code: str) -> list[RelayAction]:
        """Told at the first, second, fourth and so on, so that bad input costs bounded log."""
        self.faults[code] += 1
        count = self.faults[code]
        return [Notice("relay-fault", {"code": code, "count": count})] if count & (count - 1) == 0 else []
