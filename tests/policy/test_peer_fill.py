"""A deployment without parents, told load in answers: whose a late answer is, and copies of other caches."""

from __future__ import annotations

import itertools
import random
from dataclasses import replace
from typing import Any

import pytest

from tests.helpers import (
    EDGES,
    FILMS,
    KEYED,
    ORDER,
    ORIGIN,
    PAGES,
    PARENTS,
    RouterDriver,
    attempt_of,
    edge,
    final_actions,
)
from thornjunction import interface as api
from thornjunction.limits.idempotency import NEVER_EXECUTED
from thornjunction.settings import SettingsReader, read_class

AWAY = tuple(edge(f"{zone}{n}", zone=zone) for zone in ("there", "yonder") for n in range(2))
COLD = edge("cold", zone="there", started_ms=999.0)
ALONE = {
    "fill_reporting": api.FillReporting.NONE,
    "peer_fill": api.PeerFill.ANY,
    "may_coalesce": False,
    "servers_weighted": True,
}


STATUSES = [status for status in api.AttemptStatus if status is not api.AttemptStatus.CANCELLED]


def alone(**more: object) -> RouterDriver:
    bench = RouterDriver((*EDGES, *AWAY, COLD, ORIGIN), **{**ALONE, **more})
    gate = bench.router.state.gates.origin
    gate.share = gate.recovery_per_ms = 0.0  # the origin is under strain
    return bench


@pytest.mark.parametrize(("busy", "at_fault"), [(0.1, "behind"), (1.0, "cache"), (None, "cache")])
def test_a_slow_origin_does_not_shut_the_gates_of_idle_caches(busy: float | None, at_fault: str) -> None:
    """Guards against a guess: what was asked before is likely held, and after a purge it is not."""
    bench = RouterDriver((*EDGES, ORIGIN), **ALONE)
    for turn in range(12):
        fetch = attempt_of(bench.request(key=1))
        report = api.LoadReport(cpu_utilization=busy)
        bench.end_attempt(
            fetch, elapsed_ms=5000.0 if turn else 10.0, fill_result=api.FillResult.NONE, report=report
        )
        server = bench.router.state.placement.server_list.servers[fetch.server]
        if min(bench.router.state.gates.origin.share, server.gate.share) < 0.9:
            break
    shares = {
        "behind": bench.router.state.gates.origin.share,
        "cache": min(bench.router.state.placement.server_list.servers[e.server].gate.share for e in EDGES),
    }
    assert shares.pop(at_fault) < 0.9 and set(shares.values()) == {1.0}


def test_what_the_origin_cannot_give_now_is_sought_at_two_other_caches() -> None:
    bench = alone()
    first = attempt_of(bench.request(key=1))
    second = attempt_of(bench.end_attempt(first, api.AttemptStatus.CACHE_MISS))
    named = {first.source, second.source}
    assert first.cached_only and second.cached_only and len(named) == 2
    assert not named & {first.server, "origin"}
    assert (
        final_actions(bench.end_attempt(second, api.AttemptStatus.CACHE_MISS))
        and bench.router.state.retry_budget.tokens == 15.0
    )
    gone = api.EndpointListUpdate(
        (replace(AWAY[0], state=api.ServerState.DRAINING), *AWAY[1:]), complete=False
    )
    bench.handle(gone)
    firsts = [attempt_of(bench.request(key=key)) for key in range(40)]
    sources = [attempt_of(bench.end_attempt(first, api.AttemptStatus.CACHE_MISS)).source for first in firsts]
    assert not {"there0", "cold"} & set(sources) and "there1" in sources and "origin" not in sources


@pytest.mark.parametrize(
    ("siblings", "zones"), [(api.PeerFill.NONE, set()), (api.PeerFill.LOCATION, {"here"})]
)
def test_only_siblings_that_the_settings_allow_are_named(siblings: api.PeerFill, zones: set[str]) -> None:
    bench = alone(peer_fill=siblings)
    fetches = [attempt_of(bench.request(key=key)) for key in range(40)]
    where = {entry.server: entry.zone for entry in (*EDGES, *AWAY, COLD, ORIGIN)}
    assert {where[f.source] for f in fetches if f.source != f.server} == zones


def test_copies_past_their_fresh_time_do_while_the_origin_is_under_strain() -> None:
    classes = (replace(PAGES, stale_grace_ms=30_000.0),)
    assert attempt_of(alone(classes=classes).request(class_name="pages")).max_age_ms == 42_000.0
    assert attempt_of(RouterDriver(classes=classes).request(class_name="pages")).max_age_ms == 0.0
    bench = alone(classes=classes)
    bench.handle(api.PurgeReceived(0, 100.0, 1))
    bench.advance(1000.0)
    assert attempt_of(bench.request(class_name="pages")).max_age_ms <= 1100.0  # rule 5 goes first


TABLE = list(
    itertools.product(
        (PARENTS, ()),
        (False, True),  # reports in answers
        (0.0, 30_000.0),  # grace
        api.PeerFill,
        api.FillReporting,
    )
)


class Watch:
    """Checks every action of a router against the rules, at the time at which it was sent."""

    def __init__(
        self, kinds: tuple[api.RequestClass, ...], parents: tuple[api.ServerEntry, ...], **more: Any
    ):
        self.where = {entry.server: entry for entry in (*EDGES, *AWAY, COLD, *parents, ORIGIN)}
        self.bench = RouterDriver(tuple(self.where.values()), **{**ALONE, "classes": kinds, **more})
        self.twice, self.siblings, self.seen = more["may_hedge"], more["peer_fill"], 0
        self.may_have_run: dict[str, list[float]] = {}  # when attempts went out that may have run
        self.out: list[tuple[float, api.StartAttempt]] = []
        self.kinds: dict[str, api.RequestClass] = {}
        self.ended: list[str] = []

    def look(self) -> None:
        for at, action in self.bench.action_log[self.seen :]:
            if isinstance(action, api.RejectRequest | api.FailRequest):
                ran = self.may_have_run.get(action.request_id)
                assert (
                    isinstance(action, api.FailRequest)
                    or not ran
                    or self.kinds[action.request_id].idempotency.value == "safe"
                )
                self.ended.append(action.request_id)
            if isinstance(action, api.StartAttempt):
                self.sent(at, action, self.kinds[action.request_id])
        self.seen = len(self.bench.action_log)

    def sent(self, at: float, fetch: api.StartAttempt, kind: api.RequestClass) -> None:
        beside = [other for _, other in self.out if other.request_id == fetch.request_id]
        assert fetch.request_id not in self.ended and len(beside) <= self.twice
        ran = self.may_have_run.setdefault(fetch.request_id, [])
        window = {
            api.Idempotency.IDEMPOTENT: 1e9,
            api.Idempotency.KEYED: kind.deduplication_window_ms,
            api.Idempotency.NON_IDEMPOTENT: -1.0,
        }[kind.idempotency]
        assert not ran or at - ran[0] <= window
        ran.append(at)
        self.out.append((at, fetch))
        source = self.where[fetch.source]
        assert (
            self.where[fetch.server] in EDGES and fetch.max_age_ms <= kind.freshness_ms + kind.stale_grace_ms
        )
        if source.role is api.Role.EDGE and fetch.source != fetch.server:
            near = self.siblings is api.PeerFill.LOCATION and source.zone == "here"
            assert (near or self.siblings is api.PeerFill.ANY) and fetch.cached_only and not kind.uncacheable

    def end(self, place: int, status: api.AttemptStatus, **more: Any) -> None:
        at, fetch = self.out.pop(place)
        if status in NEVER_EXECUTED:
            self.may_have_run[fetch.request_id].remove(at)
        if status is api.AttemptStatus.SUCCEEDED and fetch.request_id not in self.ended:
            self.ended.append(fetch.request_id)
        self.bench.end_attempt(
            fetch, status, fill_result=api.FillResult.NONE, final=fetch.request_id in self.ended, **more
        )
        self.look()


@pytest.mark.parametrize("twice", [False, True])
def test_the_rules_hold_under_all_settings(twice: bool) -> None:
    """Every action of a router that sees random outcomes, under every combination of settings."""
    for seed, (parents, told, grace, siblings, notes) in enumerate(TABLE):
        chance = random.Random(seed)
        kinds = (
            FILMS,
            replace(PAGES, stale_grace_ms=grace),
            replace(KEYED, deduplication_window_ms=800.0),
            ORDER,
        )
        watch = Watch(kinds, parents, may_hedge=twice, peer_fill=siblings, fill_reporting=notes)
        for turn in range(60):
            kind = watch.kinds[str(turn + 1)] = chance.choice(kinds)
            watch.bench.request(key=chance.randrange(40), class_name=kind.name)
            watch.look()
            while watch.out and chance.random() < 0.7:
                report = (
                    api.LoadReport(cpu_utilization=chance.random(), link_utilization=chance.random())
                    if told
                    else None
                )
                took, status = chance.choice((20.0, 3000.0)), chance.choice(STATUSES)
                watch.end(chance.randrange(len(watch.out)), status, elapsed_ms=took, report=report)
            watch.bench.advance(chance.choice((5.0, 60.0)))
            watch.look()
        watch.bench.advance(6000.0)
        watch.look()
        assert sorted(watch.ended) == sorted(watch.kinds)  # one final answer each


def test_the_grace_is_read_where_an_old_copy_earns_something() -> None:
    data = {"name": "a", "aimMs": 1.0, "giveUpMs": 2.0, "idempotency": "safe"}
    for earns, grace in ((0.7, 30.0), (0.0, 0.0)):
        special = SettingsReader({"classFreshMs": [9.0], "staleForMs": [30.0], "staleEarns": [earns]})
        assert read_class(data, 0, special).stale_grace_ms == grace
