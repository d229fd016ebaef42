"""A small bench for the module alone: settings, lists and one router driven by hand."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, TypeVar

from thornjunction import interface as api
from thornjunction.policy.router import Router

A = TypeVar("A")

FILMS = api.RequestClass(
    "films",
    500.0,
    5000.0,
    api.Idempotency.IDEMPOTENT,
    objective_transfer_factor=1.6,
    late_value_share=0.1,
    priority_weight=2.0,
)
PAGES = api.RequestClass(
    "pages", 300.0, 3000.0, api.Idempotency.IDEMPOTENT, objective_transfer_factor=2.0, freshness_ms=12_000.0
)
KEYED = api.RequestClass(
    "keyed", 700.0, 3000.0, api.Idempotency.KEYED, deduplication_window_ms=2000.0, uncacheable=True
)
ORDER = api.RequestClass("order", 700.0, 3000.0, api.Idempotency.NON_IDEMPOTENT, uncacheable=True)
SETTINGS = api.Settings(
    classes=(FILMS, PAGES, KEYED, ORDER),
    zone="here",
    router_count=4,
    routers_by_zone={"here": 2},
    max_attempts=6,
    drain_grace_ms=500.0,
    initial_capacity_share=0.2,
    slow_start_ms=15_000.0,
    overload_multiple=2.0,
    overload_window_ms=1000.0,
    parent_initial_capacity_share=0.1,
    parent_slow_start_ms=20_000.0,
    purge_propagation_ms=6000.0,
    purge_grace_ms=500.0,
    transfer_rate_kb_per_ms=5.0,
    servers_weighted=True,
    may_cancel=True,
    may_coalesce=True,
    fill_reporting=api.FillReporting.ALL,
)


def edge(name: str, **more: Any) -> api.ServerEntry:
    return replace(api.ServerEntry(name, api.Role.EDGE, "here", weight=8.0), **more)


def parent(name: str, **more: Any) -> api.ServerEntry:
    return replace(api.ServerEntry(name, api.Role.PARENT, "hub", weight=20.0), **more)


ORIGIN = api.ServerEntry("origin", api.Role.ORIGIN, "hub", weight=20.0)
EDGES = tuple(edge(f"edge{number}") for number in range(4))
PARENTS = tuple(parent(f"parent{number}") for number in range(3))


class Bench:
    """Drives one router; keeps the clock and what is out."""

    def __init__(
        self, entries: tuple[api.ServerEntry, ...] = (*EDGES, *PARENTS, ORIGIN), **more: Any
    ) -> None:
        self.now, self.asked = 1000.0, 0
        self.router = Router(replace(SETTINGS, **more), 7)
        self.timers: list[tuple[float, int]] = []
        self.sent: dict[str, list[api.StartAttempt]] = {}
        self.log: list[tuple[float, api.Action]] = []
        self.give(api.EndpointListUpdate(entries))

    def give(self, event: api.Event) -> list[api.Action]:
        actions = self.router.handle(self.now, event)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, api.SetTimer):
                self.timers.append((self.now + action.in_ms, action.token))
            elif isinstance(action, api.StartAttempt):
                self.sent.setdefault(action.request_id, []).append(action)
        return actions

    def wait(self, ms: float) -> list[api.Action]:
        """Let time pass and timers fire; all that was done meanwhile."""
        end, done = self.now + ms, []
        while due := [timer for timer in self.timers if timer[0] <= end]:
            timer = min(due)
            self.timers.remove(timer)
            self.now = max(self.now, timer[0])
            done += self.give(api.TimerFired(timer[1]))
        self.now = end
        return done

    def ask(self, key: int = 1, class_name: str = "films", **more: Any) -> list[api.Action]:
        """One request; its name is the number of requests so far."""
        self.asked += 1
        kind = self.router.admission.classes.get(class_name)
        left = kind.client_timeout_ms if kind else 3000.0
        event = api.Request(str(self.asked), class_name, key, left, size_kb=1000.0)
        return self.give(replace(event, **more))

    def answer(
        self, fetch: api.StartAttempt, status: api.AttemptStatus = api.AttemptStatus.SUCCEEDED, **more: Any
    ) -> list[api.Action]:
        number = next(n for n, sent in enumerate(self.sent[fetch.request_id]) if sent is fetch)
        note = api.FillResult.HIT if status is api.AttemptStatus.SUCCEEDED else api.FillResult.NONE
        event = api.AttemptEnded(
            fetch.request_id,
            number,
            fetch.server,
            status,
            100.0,
            note,
            final=status is api.AttemptStatus.SUCCEEDED,
        )
        return self.give(replace(event, **more))


def only(actions: list[api.Action], kind: type[A]) -> list[A]:
    return [action for action in actions if isinstance(action, kind)]


def fetch_of(actions: list[api.Action]) -> api.StartAttempt:
    (fetch,) = only(actions, api.StartAttempt)
    return fetch


def finals(actions: list[api.Action]) -> list[api.Action]:
    return [action for action in actions if isinstance(action, api.RejectRequest | api.FailRequest)]
