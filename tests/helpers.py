"""Settings, endpoint lists, and a router that a test drives step by step in simulated time."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, TypeVar

from thornjunction import interface as api
from thornjunction.policy.router import Router

ActionT = TypeVar("ActionT")

# Initial value of the router's clock, in milliseconds.
START_MS = 1000.0

# Duration of an attempt in milliseconds, unless the test sets another one.
ANSWER_MS = 100.0

# Remaining client timeout in milliseconds of a request whose class is not in the settings.
UNKNOWN_CLASS_TIMEOUT_MS = 3000.0

# Expected object size of a request in kilobytes, unless the test sets another one.
REQUEST_SIZE_KB = 1000.0

# Seed of the router's random number generator.
RANDOM_SEED = 7

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


def edge(name: str, **fields: Any) -> api.ServerEntry:
    """Return the entry of an edge cache in the router's zone."""
    return replace(api.ServerEntry(name, api.Role.EDGE, "here", weight=8.0), **fields)


def parent(name: str, **fields: Any) -> api.ServerEntry:
    """Return the entry of a parent cache, which is in another zone."""
    return replace(api.ServerEntry(name, api.Role.PARENT, "hub", weight=20.0), **fields)


ORIGIN = api.ServerEntry("origin", api.Role.ORIGIN, "hub", weight=20.0)
EDGES = tuple(edge(f"edge{number}") for number in range(4))
PARENTS = tuple(parent(f"parent{number}") for number in range(3))


class RouterDriver:
    """Passes events to one router, and manages its clock, timers and attempts.

    Attributes:
        now_ms: the router's clock.
        attempts: the attempts of each request, in order.
        action_log: all actions, with the times in ms at which they were returned.
        request_count: number of requests so far, which is also the id of the last one.
    """

    def __init__(
        self, entries: tuple[api.ServerEntry, ...] = (*EDGES, *PARENTS, ORIGIN), **settings: Any
    ) -> None:
        self.now_ms = START_MS
        self.request_count = 0
        self.router = Router(replace(SETTINGS, **settings), RANDOM_SEED)
        self.timers: list[tuple[float, int]] = []
        self.attempts: dict[str, list[api.StartAttempt]] = {}
        self.action_log: list[tuple[float, api.Action]] = []
        self.handle(api.EndpointListUpdate(entries))

    def handle(self, event: api.Event) -> list[api.Action]:
        """Pass an event to the router at the present time, and return its actions."""
        actions = self.router.handle(self.now_ms, event)
        for action in actions:
            self.action_log.append((self.now_ms, action))
            if isinstance(action, api.SetTimer):
                self.timers.append((self.now_ms + action.in_ms, action.token))
            elif isinstance(action, api.StartAttempt):
                self.attempts.setdefault(action.request_id, []).append(action)
        return actions

    def advance(self, elapsed_ms: float) -> list[api.Action]:
        """Advance the clock and fire the timers that become due; return the actions of all of them."""
        end_ms = self.now_ms + elapsed_ms
        actions: list[api.Action] = []
        while due := [timer for timer in self.timers if timer[0] <= end_ms]:
            timer = min(due)
            self.timers.remove(timer)
            due_ms, token = timer
            self.now_ms = max(self.now_ms, due_ms)
            actions += self.handle(api.TimerFired(token))
        self.now_ms = end_ms
        return actions

    def request(self, key: int = 1, class_name: str = "films", **fields: Any) -> list[api.Action]:
        """Request an object, with its class's complete client timeout remaining unless set otherwise."""
        self.request_count += 1
        request_class = self.router.admission.classes.get(class_name)
        remaining_ms = request_class.client_timeout_ms if request_class else UNKNOWN_CLASS_TIMEOUT_MS
        event = api.Request(str(self.request_count), class_name, key, remaining_ms, size_kb=REQUEST_SIZE_KB)
        return self.handle(replace(event, **fields))

    def end_attempt(
        self,
        attempt: api.StartAttempt,
        status: api.AttemptStatus = api.AttemptStatus.SUCCEEDED,
        **fields: Any,
    ) -> list[api.Action]:
        """End an attempt, by default with a cache hit after ``ANSWER_MS``; return the router's actions."""
        siblings = self.attempts[attempt.request_id]
        number = next(index for index, sibling in enumerate(siblings) if sibling is attempt)
        succeeded = status is api.AttemptStatus.SUCCEEDED
        event = api.AttemptEnded(
            attempt.request_id,
            number,
            attempt.server,
            status,
            ANSWER_MS,
            api.FillResult.HIT if succeeded else api.FillResult.NONE,
            final=succeeded,
        )
        return self.handle(replace(event, **fields))


def actions_of(actions: list[api.Action], kind: type[ActionT]) -> list[ActionT]:
    """Return the actions of one type, in order."""
    return [action for action in actions if isinstance(action, kind)]


def attempt_of(actions: list[api.Action]) -> api.StartAttempt:
    """Return the only attempt among the actions; ValueError unless there is exactly one."""
    (attempt,) = actions_of(actions, api.StartAttempt)
    return attempt


def final_actions(actions: list[api.Action]) -> list[api.Action]:
    """Return the rejections and failures among the actions."""
    return [action for action in actions if isinstance(action, api.RejectRequest | api.FailRequest)]
