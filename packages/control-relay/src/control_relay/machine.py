"""The relay: what an upstream told is told on, to each who lacks it and once, and what all hold is known."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from sansio_core import Notice, SetTimer, Started, TimerFired

from control_relay import views
from control_relay.encoding import age_of, duration, whole_number
from control_relay.marks import Flushes, Marks
from control_relay.pages import Pages, Reply
from control_relay.routers import NAME, Router, Routers
from control_relay.seam import (
    Answer,
    Attached,
    Confirmed,
    Dismissed,
    HandedUp,
    ListTold,
    Polled,
    PollerGone,
    PurgeStanding,
    PurgeTold,
    Refuse,
    RelayAction,
    RelayEvent,
    RouterStanding,
    Status,
)
from control_relay.settings import RelaySettings
from control_relay.state import State
from control_relay.waiting import SLOT_MS, Waiting

JOIN, DEADLINE = 1, 2  # timers


class Relay:
    """Sans-I/O: call ``handle`` with each event and carry out the actions.  ``epoch`` names its numbers (1
    to 32 of ``[A-Za-z0-9._-]``, else ValueError), the first of which is ``base``."""

    def __init__(self, settings: RelaySettings, epoch: str, base: int) -> None:
        if not NAME.fullmatch(epoch):
            raise ValueError("an epoch is 1 to 32 of [A-Za-z0-9._-]")
        self.settings, self.epoch, self.base = settings, epoch, base
        self.state = State(settings, base)
        self.log = self.state.log
        self.pages = Pages(epoch, self.log, self.state.shelves, settings.page_bytes)
        self.waiting, self.flushes = Waiting(), Flushes()
        self.marks = Marks(base - 1, settings.recent)
        self.routers = Routers(settings, 0.0)
        self.ready = False
        self.as_of = self._told_as_of = -math.inf  # of what is known; of what has gone out
        self._whole_told = 0  # the latest list that went out in a whole state
        self._join_at: float | None = None
        self._handlers: dict[type, Callable[[float, Any], list[RelayAction]]] = {
            Started: self._started,
            Attached: self._attached,
            TimerFired: self._timer,
            ListTold: self._list,
            PurgeTold: self._purge,
            Confirmed: self._confirmed,
            Polled: self._polled,
            PollerGone: self._gone,
            Dismissed: self._dismissed,
        }

    def handle(self, now: float, event: RelayEvent) -> list[RelayAction]:
        self._expire(now)
        return self._handlers[type(event)](now, event)

    # -- views

    def status(self, now: float) -> Status:
        self._expire(now)
        return views.status(self, now)

    def purges(self, now: float) -> tuple[PurgeStanding, ...]:
        """The last purges, the latest last."""
        return views.purges(self.marks, self.routers)

    def roster(self, now: float) -> tuple[RouterStanding, ...]:
        """Who has not confirmed the head, the furthest behind first."""
        return views.roster(self, now)

    def handed_up(self, now: float) -> HandedUp:
        """What this relay's own poll tells its upstream."""
        return views.handed_up(self.marks, self.routers, self.log.told)

    def age_ms(self, now: float) -> float:
        """Of what has gone out: discovery confirmed that it stood so, so long ago or later."""
        return max(0.0, now - self._told_as_of)

    # -- from upstream

    def _started(self, now: float, event: Started) -> list[RelayAction]:
        for router in self.routers:
            router.seen_at = now
        return []

    def _attached(self, now: float, event: Attached) -> list[RelayAction]:
        self.marks.attached()
        return []

    def _list(self, now: float, event: ListTold) -> list[RelayAction]:
        actions = self.state.list_told(event)
        return actions + self._after_event(now, event.number)

    def _purge(self, now: float, event: PurgeTold) -> list[RelayAction]:
        actions, record = self.state.purge_told(now, event)
        if record is not None:
            self.marks.records.append(record)
        return actions + self._after_event(now, event.number)

    def _after_event(self, now: float, upstream: int) -> list[RelayAction]:
        self.marks.taken(whole_number(upstream))
        actions: list[RelayAction] = []
        if self.log.crowded:
            actions = self._flush(now)
        elif self.log.pending and self._join_at is None:
            self._join_at = now + self.settings.join_ms
            actions = [SetTimer(self.settings.join_ms, JOIN)]
        self._advance(now)
        return actions

    def _confirmed(self, now: float, event: Confirmed) -> list[RelayAction]:
        age_ms = age_of(event.age_ms)
        if age_ms is not None:
            self.as_of = max(self.as_of, now - age_ms)
        if not self.log.pending:  # else what goes out now lacks what waits, and is older
            self._told_as_of = self.as_of
        self.marks.all_taken(self.log.head, whole_number(event.number))
        self._advance(now)
        if self.ready or not self.state.shelves.number or self.as_of == -math.inf:
            return []
        self.ready = True
        return [Notice("relay-ready", {"epoch": self.epoch}), *self._flush(now)]

    # -- from below

    def _polled(self, now: float, event: Polled) -> list[RelayAction]:
        poller = event.poller
        self.waiting.remove(poller)
        if not self.ready:
            return [Refuse(poller, "no-state")]
        if event.role == "probe":
            self._elsewhere(now, event)
            return [Answer(poller, self.pages.changes(now, self.age_ms(now), self.log.told).body)]
        if len(self.waiting) >= self.settings.most_waiting:
            return [Refuse(poller, "polls-full")]
        block_ms = duration(event.block_ms, self.settings.most_block_ms)
        router = None
        if event.role != "sibling":
            router = self._router(now, event, block_ms)
            if router is None:
                return [Refuse(poller, "routers-full")]
        resume = whole_number(event.resume)
        ours = self.base <= resume <= self.log.told and (not event.epoch or event.epoch == self.epoch)
        steady = not ours or router is None or self.routers.heard(router, event, resume)
        if router is not None and not ours:
            self.routers.forget_confirmed(router)
        self._advance(now)
        if not (ours and self._holds_list(router, resume, steady)):
            return self._tell_whole(now, poller, router, resume if ours else 0)
        if resume >= self.log.told or not self.log.first_after(resume):
            return self._wait(now, poller, router, resume, block_ms)
        return [self._tell(poller, router, resume, self.pages.changes(now, self.age_ms(now), resume))]

    def _router(self, now: float, event: Polled, block_ms: float) -> Router | None:
        named = isinstance(event.name, str) and NAME.fullmatch(event.name)
        role = "relay" if event.role == "relay" else "router"
        router = self.routers.polled(now, event.name if named else f"#{event.poller}", role, block_ms)
        if router is not None:
            router.poller = event.poller
        return router

    def _elsewhere(self, now: float, event: Polled) -> None:
        """Guards one who has come back, and waits on another connection, against its own late probe."""
        router = self.routers.get(event.name)
        if router is not None and (router.poller == event.poller or router.poller not in self.waiting):
            self.routers.dismiss(event.name)
            self._advance(now)

    def _holds_list(self, router: Router | None, resume: int, steady: bool) -> bool:
        """Whether who has this number has the list to which what follows in the log applies.  Guards the list
        against one who has taken purges of a whole state, and not yet the list behind them."""
        if resume >= self.state.shelves.number:
            return True
        known = router.whole_at if router is not None else None
        whole_at = self._whole_told if known is None else known
        return steady and resume >= self.log.floor and resume >= whole_at

    def _tell_whole(self, now: float, poller: int, router: Router | None, resume: int) -> list[RelayAction]:
        actions: list[RelayAction] = []
        if self.state.shelves.number > self.log.told:
            actions = self._flush(now)  # else the list's number would hide purges that wait before it
        reply = self.pages.whole(now, self.age_ms(now), resume)
        return [*actions, self._tell(poller, router, resume, reply)]

    def _wait(
        self, now: float, poller: int, router: Router | None, resume: int, block_ms: float
    ) -> list[RelayAction]:
        if block_ms < SLOT_MS:
            return [
                self._tell(poller, router, resume, self.pages.changes(now, self.age_ms(now), self.log.told))
            ]
        self.waiting.add(poller, router, resume, now + block_ms)
        return self._arm(now)

    def _tell(self, poller: int, router: Router | None, resume: int, reply: Reply) -> Answer:
        if reply.whole:
            self._whole_told = max(self._whole_told, reply.whole)
        if router is not None:
            if reply.whole:
                router.whole_at = reply.whole
                router.told.clear()  # Guards the list: in a whole state purges come before it
            elif router.whole_at is None:
                router.whole_at = 0
            if reply.covers:
                router.tell(reply.last or resume, reply.covers)
        return Answer(poller, reply.body)

    def _gone(self, now: float, event: PollerGone) -> list[RelayAction]:
        self.waiting.remove(event.poller)
        self._dismissed(now, Dismissed(f"#{event.poller}"))
        return []

    def _dismissed(self, now: float, event: Dismissed) -> list[RelayAction]:
        self.routers.dismiss(event.name)
        self._advance(now)
        return []

    # -- time

    def _timer(self, now: float, event: TimerFired) -> list[RelayAction]:
        if event.token == JOIN and self._join_at is not None:
            if now >= self._join_at:
                return self._flush(now)
            return [SetTimer(self._join_at - now, JOIN)]
        if event.token == DEADLINE:
            due = self.waiting.take_due(now)
            actions: list[RelayAction] = []
            if due:
                reply = self.pages.changes(now, self.age_ms(now), self.log.told)
                actions = [self._tell(poller, router, resume, reply) for poller, router, resume in due]
            return actions + self._arm(now, fired=True)
        return []

    def _arm(self, now: float, fired: bool = False) -> list[RelayAction]:
        in_ms = self.waiting.arm(now, fired)
        return [] if in_ms is None else [SetTimer(in_ms, DEADLINE)]

    def _flush(self, now: float) -> list[RelayAction]:
        """What waits goes out, in one answer for all who wait: they hold all that was told before."""
        self._join_at = None
        if not self.log.pending:
            return []
        before = self.log.told
        self.log.flush()
        self._told_as_of = self.as_of
        self.pages.clear()
        self.flushes.add(self.log.told, now)
        actions: list[RelayAction] = []
        if len(self.waiting) and self.log.first_after(before):
            lost = before < self.log.floor
            page = self.pages.whole if lost else self.pages.changes
            reply = page(now, self.age_ms(now), before)
            actions = [
                self._tell(poller, router, resume, reply)
                for poller, router, resume in self.waiting.take_all()
            ]
        self._advance(now)
        return actions

    def _expire(self, now: float) -> None:
        if self.state.purges.next_end <= now:
            self.state.expire(now)
            self.pages.clear()

    def _advance(self, now: float) -> None:
        self.marks.advance(now, self.routers.lowest, self.log.told)
