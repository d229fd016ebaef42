"""A deployment without parents: who is at fault for a late answer, and fills from other caches."""

from __future__ import annotations

import itertools
import random
from dataclasses import replace

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
from tests.policy.rule_checker import RuleChecker
from thornjunction import interface as api
from thornjunction.settings import SettingsReader, read_class

AWAY = tuple(edge(f"{zone}{n}", zone=zone) for zone in ("there", "yonder") for n in range(2))
COLD = edge("cold", zone="there", started_ms=999.0)
NO_PARENTS = {
    "fill_reporting": api.FillReporting.NONE,
    "peer_fill": api.PeerFill.ANY,
    "may_coalesce": False,
    "servers_weighted": True,
}


STATUSES = [status for status in api.AttemptStatus if status is not api.AttemptStatus.CANCELLED]


def driver_without_parents(**settings: object) -> RouterDriver:
    driver = RouterDriver((*EDGES, *AWAY, COLD, ORIGIN), **{**NO_PARENTS, **settings})
    gate = driver.router.state.gates.origin
    gate.share = gate.recovery_per_ms = 0.0  # the origin is under strain
    return driver


@pytest.mark.parametrize(("busy", "at_fault"), [(0.1, "behind"), (1.0, "cache"), (None, "cache")])
def test_a_slow_origin_does_not_shut_the_gates_of_idle_caches(busy: float | None, at_fault: str) -> None:
    """Guards against a guess: what was asked before is likely held, and after a purge it is not."""
    driver = RouterDriver((*EDGES, ORIGIN), **NO_PARENTS)
    for turn in range(12):
        attempt = attempt_of(driver.request(key=1))
        report = api.LoadReport(cpu_utilization=busy)
        driver.end_attempt(
            attempt, elapsed_ms=5000.0 if turn else 10.0, fill_result=api.FillResult.NONE, report=report
        )
        server = driver.router.state.placement.server_list.servers[attempt.server]
        if min(driver.router.state.gates.origin.share, server.gate.share) < 0.9:
            break
    shares = {
        "behind": driver.router.state.gates.origin.share,
        "cache": min(driver.router.state.placement.server_list.servers[e.server].gate.share for e in EDGES),
    }
    assert shares.pop(at_fault) < 0.9
    assert set(shares.values()) == {1.0}


def test_what_the_origin_cannot_give_now_is_sought_at_two_other_caches() -> None:
    driver = driver_without_parents()
    first = attempt_of(driver.request(key=1))
    second = attempt_of(driver.end_attempt(first, api.AttemptStatus.CACHE_MISS))
    named = {first.source, second.source}
    assert first.cached_only
    assert second.cached_only
    assert len(named) == 2
    assert not named & {first.server, "origin"}
    assert final_actions(driver.end_attempt(second, api.AttemptStatus.CACHE_MISS))
    assert driver.router.state.retry_budget.tokens == 15.0
    gone = api.EndpointListUpdate(
        (replace(AWAY[0], state=api.ServerState.DRAINING), *AWAY[1:]), complete=False
    )
    driver.handle(gone)
    firsts = [attempt_of(driver.request(key=key)) for key in range(40)]
    sources = [attempt_of(driver.end_attempt(first, api.AttemptStatus.CACHE_MISS)).source for first in firsts]
    assert not {"there0", "cold"} & set(sources)
    assert "there1" in sources
    assert "origin" not in sources


@pytest.mark.parametrize(("siblings", "zones"), [(api.PeerFill.NONE, set()), (api.PeerFill.ZONE, {"here"})])
def test_only_siblings_that_the_settings_allow_are_named(siblings: api.PeerFill, zones: set[str]) -> None:
    driver = driver_without_parents(peer_fill=siblings)
    started = [attempt_of(driver.request(key=key)) for key in range(40)]
    where = {entry.server: entry.zone for entry in (*EDGES, *AWAY, COLD, ORIGIN)}
    assert {where[f.source] for f in started if f.source != f.server} == zones


def test_copies_past_their_fresh_time_do_while_the_origin_is_under_strain() -> None:
    classes = (replace(PAGES, stale_grace_ms=30_000.0),)
    assert (
        attempt_of(driver_without_parents(classes=classes).request(class_name="pages")).max_age_ms == 42_000.0
    )
    assert attempt_of(RouterDriver(classes=classes).request(class_name="pages")).max_age_ms == 0.0
    driver = driver_without_parents(classes=classes)
    driver.handle(api.PurgeReceived(0, 100.0, 1))
    driver.advance(1000.0)
    assert attempt_of(driver.request(class_name="pages")).max_age_ms <= 1100.0  # rule 5 goes first


COMBINATIONS = list(
    itertools.product(
        (PARENTS, ()),
        (False, True),  # reports in answers
        (0.0, 30_000.0),  # grace
        api.PeerFill,
        api.FillReporting,
    )
)


def make_report(chance: random.Random, with_reports: bool) -> api.LoadReport | None:
    """Draw a load report, where answers have one."""
    if not with_reports:
        return None
    return api.LoadReport(cpu_utilization=chance.random(), link_utilization=chance.random())


def end_some_attempts(checker: RuleChecker, chance: random.Random, with_reports: bool) -> None:
    """End open attempts with random outcomes until the draw says to stop."""
    while checker.open_attempts and chance.random() < 0.7:
        report = make_report(chance, with_reports)
        elapsed_ms = chance.choice((20.0, 3000.0))
        status = chance.choice(STATUSES)
        place = chance.randrange(len(checker.open_attempts))
        checker.end_attempt(place, status, elapsed_ms=elapsed_ms, report=report)


@pytest.mark.parametrize("may_hedge", [False, True])
def test_the_rules_hold_under_all_settings(may_hedge: bool) -> None:
    """Every action of a router that gets random outcomes, under every combination of settings."""
    for seed, (parents, with_reports, grace_ms, peer_fill, fill_reporting) in enumerate(COMBINATIONS):
        chance = random.Random(seed)
        classes = (
            FILMS,
            replace(PAGES, stale_grace_ms=grace_ms),
            replace(KEYED, deduplication_window_ms=800.0),
            ORDER,
        )
        settings = NO_PARENTS | {
            "classes": classes,
            "may_hedge": may_hedge,
            "peer_fill": peer_fill,
            "fill_reporting": fill_reporting,
        }
        checker = RuleChecker((*EDGES, *AWAY, COLD, *parents, ORIGIN), settings)
        for _ in range(60):
            checker.request(chance.choice(classes), chance.randrange(40))
            end_some_attempts(checker, chance, with_reports)
            checker.advance(chance.choice((5.0, 60.0)))
        checker.advance(6000.0)
        assert sorted(checker.answered) == sorted(checker.classes)  # one final answer each


def test_the_grace_is_read_where_an_old_copy_earns_something() -> None:
    data = {"name": "a", "aimMs": 1.0, "giveUpMs": 2.0, "idempotency": "safe"}
    for earns, grace in ((0.7, 30.0), (0.0, 0.0)):
        special = SettingsReader({"classFreshMs": [9.0], "staleForMs": [30.0], "staleEarns": [earns]})
        assert read_class(data, 0, special).stale_grace_ms == grace
