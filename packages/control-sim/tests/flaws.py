"""Ways to break relays and routers on purpose, each of which seeds must find.

`python packages/control-sim/tests/flaws.py [SEEDS]` counts by which checks, for the table in
docs/design/control.md."""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any
from unittest.mock import patch

import control_client.follower
from control_relay import Polled, Relay, RelaySettings
from control_relay.log import Log
from control_relay.marks import Marks
from control_relay.pages import Page, Pages
from control_relay.purges import Purges
from control_relay.routers import Router, Routers
from control_sim import outcome_of, topology

Flaw = Callable[[], Any]  # a context in which the code is broken


def _patch(owner: Any, name: str, broken: Any) -> Flaw:
    return lambda: patch.object(owner, name, broken)


def _present_only(self: Relay, now: float) -> None:
    there = [router.confirmed for router in self.routers if not self.routers.cut_off(router, now)]
    self.marks.advance(now, min(there, default=self.log.told), self.log.told)


_polled = Relay._polled


def _any_epoch(self: Relay, now: float, event: Polled) -> Any:
    return _polled(self, now, replace(event, epoch=self.epoch))


def _skipping(self: Pages, events: Any) -> Page:
    taken: list[bytes] = []
    size = last = 0
    for number, data in events:
        if taken and size + len(data) + 1 > self._most:
            return Page(b",".join([*taken[:-1], data]), self._log.told, number, 0)
        taken.append(data)
        size, last = size + len(data) + 1, number
    return Page(b",".join(taken), last or self._log.told, last, self._log.told)


_page = Pages._page


def _early_cover(self: Pages, events: Any) -> Page:
    page = _page(self, events)
    return page if page.covers else replace(page, covers=page.last)


def _no_floor(self: Log) -> None:
    number = self._live.popleft()
    self._live_bytes -= len(self.changes[number])
    self.drop(number)


def _no_guard(self: Relay, router: Router | None, resume: int, steady: bool) -> bool:
    return resume >= self.log.floor


_heard = Routers.heard


def _resume_counts(self: Routers, router: Router, poll: Polled, resume: int) -> bool:
    return _heard(self, router, replace(poll, done=resume), resume)


def _no_flush(self: Relay, now: float, poller: int, router: Router | None, resume: int) -> Any:
    return [self._tell(poller, router, resume, self.pages.whole(now, self.age_ms(now), resume))]


def _age_of_all(self: Relay, now: float) -> float:
    return max(0.0, now - self.as_of)


_settings = topology.settings


def _short_hold(name: str) -> RelaySettings:
    return replace(_settings(name), hold_ms=300.0)


@contextmanager
def _lists_of_any_age() -> Iterator[None]:
    with (
        patch.object(control_client.follower, "LATER_MS", float("-inf")),
        patch.object(control_client.follower, "HISTORY_MS", float("inf")),
    ):
        yield


FLAWS: dict[str, Flaw] = {
    "cut-off routers count as done": _patch(Relay, "_advance", _present_only),
    "the epoch of a poll is ignored": _patch(Relay, "_polled", _any_epoch),
    "an older list is taken from another source": _lists_of_any_age,
    "a page's end skips an event": _patch(Pages, "_page", _skipping),
    "the floor of the log is ignored": _patch(Log, "_forget", _no_floor),
    "purges are held for 0.3 s instead of 4": _patch(topology, "settings", _short_hold),
    "a relay's resume counts instead of its done": _patch(Routers, "heard", _resume_counts),
    "a page confirms before all is told": _patch(Pages, "_page", _early_cover),
    "half a whole state counts as the list": _patch(Relay, "_holds_list", _no_guard),
    "a whole state goes out before what waits": _patch(Relay, "_tell_whole", _no_flush),
    "the age leaves out what waits to be joined": _patch(Relay, "age_ms", _age_of_all),
    "superseded events go at once": _patch(Log, "retire", Log.drop),
    "a restarted router's confirmations stay": _patch(Routers, "forget_confirmed", lambda self, router: None),
    "an earlier purge replaces a later one": _patch(Purges, "get", lambda self, what: None),
    "done goes by the furthest router": _patch(
        Marks, "advance", lambda self, now, lowest, told, f=Marks.advance: f(self, now, told, told)
    ),
}


def found(flaw: str, seeds: int) -> Counter[str]:
    """By which checks how many of the first seeds fail."""
    with FLAWS[flaw]():
        outcomes = [outcome_of(seed) for seed in range(seeds)]
    return Counter(outcome.violation.check for outcome in outcomes if outcome.violation)


if __name__ == "__main__":
    most = int(sys.argv[1]) if len(sys.argv) > 1 else 500
    for each in FLAWS:
        checks = found(each, most)
        named = ", ".join(f"{check} {count}" for check, count in sorted(checks.items()))
        print(f"| {each} | {checks.total()} | {named} |", flush=True)
