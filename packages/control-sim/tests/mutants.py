"""Mutants: injected defects of relays and routers, which the simulation's invariants must detect.

``python packages/control-sim/tests/mutants.py [SEEDS]`` counts the failing seeds of each mutant by invariant,
for the table in ``docs/design/control.md``.
"""

from __future__ import annotations

import sys
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from contextlib import AbstractContextManager, contextmanager
from dataclasses import replace
from typing import Any
from unittest.mock import patch

import control_client.state_follower
from control_relay import PollReceived, PollRequest, RelaySettings
from control_relay.active_purges import ActivePurges
from control_relay.delivery import Delivery
from control_relay.event_log import EventLog, LogEvent
from control_relay.freshness import Freshness
from control_relay.low_water_marks import LowWaterMarks
from control_relay.member import Member
from control_relay.members import MemberTable, PollContinuity
from control_relay.paged_responses import Page, PagedResponses
from control_relay.poll_handling import PollHandler
from control_sim import run_seed, topology

Mutant = Callable[[], AbstractContextManager[Any]]
"""Returns a context manager within which the code has the defect."""

DEFAULT_SEEDS = 500

original_handle_poll = PollHandler.handle
original_page = PagedResponses._page
original_apply_poll = MemberTable.apply_poll
original_advance = LowWaterMarks.advance
original_relay_settings = topology.relay_settings


def replace_attribute(owner: Any, name: str, defect: Any) -> Mutant:
    return lambda: patch.object(owner, name, defect)


def advance_by_reachable_members(self: Delivery, now: float) -> None:
    members = self._members
    reachable = [member.acknowledged for member in members if not members.is_unreachable(member, now)]
    lowest = min(reachable, default=self._log.delivered)
    self._low_water_marks.advance(now, lowest, self._log.delivered)


def advance_by_most_advanced_member(
    self: LowWaterMarks, now: float, lowest_acknowledged: float, delivered: int
) -> None:
    original_advance(self, now, delivered, delivered)


def accept_any_epoch(self: PollHandler, now: float, event: PollReceived) -> Any:
    request = replace(event.request, epoch=self._epoch.name)
    return original_handle_poll(self, now, replace(event, request=request))


def skip_event_at_page_end(self: PagedResponses, events: Iterable[LogEvent]) -> Page:
    encoded: list[bytes] = []
    size_bytes = 0
    last_number = None
    delivered = self._log.delivered
    for number, data in events:
        if encoded and size_bytes + len(data) + 1 > self._max_page_bytes:
            return Page(b",".join([*encoded[:-1], data]), delivered, number, None)
        encoded.append(data)
        size_bytes += len(data) + 1
        last_number = number
    return Page(b",".join(encoded), last_number or delivered, last_number, delivered)


def acknowledge_each_page(self: PagedResponses, events: Iterable[LogEvent]) -> Page:
    page = original_page(self, events)
    return page if page.complete_up_to is not None else replace(page, complete_up_to=page.last_number)


def drop_change_without_raising_floor(self: EventLog) -> None:
    number = self._current_changes.popleft()
    self._current_change_bytes -= len(self._list_changes[number])
    self.remove(number)


def assume_list(self: PollHandler, member: Member | None, resume: int, position: PollContinuity) -> bool:
    return resume >= self._log.floor


def trust_resume_of_relay(
    self: MemberTable, member: Member, request: PollRequest, resume: int
) -> PollContinuity:
    return original_apply_poll(self, member, replace(request, acknowledged=resume), resume)


def respond_without_delivering_first(
    self: Delivery, now: float, poller: int, member: Member | None, resume: int
) -> Any:
    response = self._responses.complete_state(now, self.freshness.age_ms(now), resume)
    return [self._respond(poller, member, resume, response)]


def age_of_known_state(self: Freshness, now: float) -> float:
    return max(0.0, now - self.known_as_of_ms)


def short_retention(name: str) -> RelaySettings:
    return replace(original_relay_settings(name), purge_retention_ms=300.0)


@contextmanager
def accept_lists_of_any_age() -> Iterator[None]:
    with (
        patch.object(control_client.state_follower, "RESET_MARGIN_MS", float("-inf")),
        patch.object(control_client.state_follower, "OUTDATED_LIST_MARGIN_MS", float("inf")),
    ):
        yield


MUTANTS: dict[str, Mutant] = {
    "unreachable routers count as acknowledged": replace_attribute(
        Delivery, "advance_low_water_marks", advance_by_reachable_members
    ),
    "the epoch of a poll is ignored": replace_attribute(PollHandler, "handle", accept_any_epoch),
    "an older list is accepted from another source": accept_lists_of_any_age,
    "the end of a page skips an event": replace_attribute(PagedResponses, "_page", skip_event_at_page_end),
    "the floor of the log is ignored": replace_attribute(
        EventLog, "_drop_oldest_change", drop_change_without_raising_floor
    ),
    "purges are retained for 0.3 s instead of 4": replace_attribute(
        topology, "relay_settings", short_retention
    ),
    "a relay's resume counts instead of its progress": replace_attribute(
        MemberTable, "apply_poll", trust_resume_of_relay
    ),
    "each page acknowledges": replace_attribute(PagedResponses, "_page", acknowledge_each_page),
    "half a complete state counts as the list": replace_attribute(PollHandler, "_has_list", assume_list),
    "a complete state overtakes undelivered events": replace_attribute(
        Delivery, "respond_with_complete_state", respond_without_delivering_first
    ),
    "the age ignores undelivered events": replace_attribute(Freshness, "age_ms", age_of_known_state),
    "superseded events are removed at once": replace_attribute(EventLog, "supersede", EventLog.remove),
    "a restarted router keeps its acknowledgements": replace_attribute(
        MemberTable, "restart", lambda self, member: None
    ),
    "an earlier purge replaces a later one": replace_attribute(
        ActivePurges, "get", lambda self, target: None
    ),
    "propagation goes by the most advanced router": replace_attribute(
        LowWaterMarks, "advance", advance_by_most_advanced_member
    ),
}


def count_failures(mutant: str, seeds: int) -> Counter[str]:
    """Return how many of the first seeds fail, by invariant."""
    with MUTANTS[mutant]():
        outcomes = [run_seed(seed) for seed in range(seeds)]
    return Counter(outcome.violation.check for outcome in outcomes if outcome.violation)


def main() -> None:
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SEEDS
    for mutant in MUTANTS:
        failures = count_failures(mutant, seeds)
        by_invariant = ", ".join(f"{name} {count}" for name, count in sorted(failures.items()))
        print(f"| {mutant} | {failures.total()} | {by_invariant or 'none'} |", flush=True)


if __name__ == "__main__":
    main()
