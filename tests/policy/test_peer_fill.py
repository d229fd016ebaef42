"""A deployment without parents: attribution of late answers, and fills from other caches."""

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

OTHER_ZONES = tuple(edge(f"{zone}{number}", zone=zone) for zone in ("there", "yonder") for number in range(2))
COLD = edge("cold", zone="there", started_ms=999.0)
NO_PARENTS = {
    "fill_reporting": api.FillReporting.NONE,
    "peer_fill": api.PeerFill.ANY,
    "may_coalesce": False,
    "servers_weighted": True,
}


STATUSES = [status for status in api.AttemptStatus if status is not api.AttemptStatus.CANCELLED]


def driver_without_parents(**settings: object) -> RouterDriver:
    """Return the driver of a router without parents, whose origin gate is shut and does not recover."""
    driver = RouterDriver((*EDGES, *OTHER_ZONES, COLD, ORIGIN), **{**NO_PARENTS, **settings})
    gate = driver.router.state.gates.origin
    gate.share = gate.recovery_per_ms = 0.0  # the origin is overloaded
    return driver


@pytest.mark.parametrize(("cpu_load", "shut_gate"), [(0.1, "origin"), (1.0, "cache"), (None, "cache")])
def test_a_slow_origin_does_not_shut_the_gates_of_idle_caches(cpu_load: float | None, shut_gate: str) -> None:
    """An object that was requested before is assumed to be cached, which is wrong after a purge."""
    driver = RouterDriver((*EDGES, ORIGIN), **NO_PARENTS)
    for number in range(12):
        attempt = attempt_of(driver.request(key=1))
        report = api.LoadReport(cpu_utilization=cpu_load)
        driver.end_attempt(
            attempt, elapsed_ms=5000.0 if number else 10.0, fill_result=api.FillResult.NONE, report=report
        )
        server = driver.router.state.placement.server_list.servers[attempt.server]
        if min(driver.router.state.gates.origin.share, server.gate.share) < 0.9:
            break
    shares = {
        "origin": driver.router.state.gates.origin.share,
        "cache": min(
            driver.router.state.placement.server_list.servers[entry.server].gate.share for entry in EDGES
        ),
    }
    assert shares.pop(shut_gate) < 0.9
    assert set(shares.values()) == {1.0}


def test_while_the_origin_is_overloaded_a_miss_is_looked_up_at_two_other_caches() -> None:
    driver = driver_without_parents()
    first = attempt_of(driver.request(key=1))
    second = attempt_of(driver.end_attempt(first, api.AttemptStatus.CACHE_MISS))
    used_sources = {first.source, second.source}
    assert first.cached_only
    assert second.cached_only
    assert len(used_sources) == 2
    assert not used_sources & {first.server, "origin"}
    assert final_actions(driver.end_attempt(second, api.AttemptStatus.CACHE_MISS))
    assert driver.router.state.retry_budget.tokens == 15.0
    draining_update = api.EndpointListUpdate(
        (replace(OTHER_ZONES[0], state=api.ServerState.DRAINING), *OTHER_ZONES[1:]), complete=False
    )
    driver.handle(draining_update)
    first_attempts = [attempt_of(driver.request(key=key)) for key in range(40)]
    sources = [
        attempt_of(driver.end_attempt(first, api.AttemptStatus.CACHE_MISS)).source for first in first_attempts
    ]
    assert not {"there0", "cold"} & set(sources)
    assert "there1" in sources
    assert "origin" not in sources


@pytest.mark.parametrize(("peer_fill", "zones"), [(api.PeerFill.NONE, set()), (api.PeerFill.ZONE, {"here"})])
def test_only_peers_that_the_settings_allow_are_sources(peer_fill: api.PeerFill, zones: set[str]) -> None:
    driver = driver_without_parents(peer_fill=peer_fill)
    started = [attempt_of(driver.request(key=key)) for key in range(40)]
    zone_of = {entry.server: entry.zone for entry in (*EDGES, *OTHER_ZONES, COLD, ORIGIN)}
    assert {zone_of[attempt.source] for attempt in started if attempt.source != attempt.server} == zones


def test_stale_copies_are_accepted_while_the_origin_is_overloaded() -> None:
    classes = (replace(PAGES, stale_grace_ms=30_000.0),)
    assert (
        attempt_of(driver_without_parents(classes=classes).request(class_name="pages")).max_age_ms == 42_000.0
    )
    assert attempt_of(RouterDriver(classes=classes).request(class_name="pages")).max_age_ms == 0.0
    driver = driver_without_parents(classes=classes)
    driver.handle(api.PurgeReceived(0, 100.0, 1))
    driver.advance(1000.0)
    # Rule 5 of the simulator (purges) takes precedence.
    assert attempt_of(driver.request(class_name="pages")).max_age_ms <= 1100.0


COMBINATIONS = list(
    itertools.product(
        (PARENTS, ()),
        (False, True),  # reports in answers
        (0.0, 30_000.0),  # stale_grace_ms
        api.PeerFill,
        api.FillReporting,
    )
)


def make_report(rng: random.Random, with_reports: bool) -> api.LoadReport | None:
    """Return a random load report, or None if answers have none."""
    if not with_reports:
        return None
    return api.LoadReport(cpu_utilization=rng.random(), link_utilization=rng.random())


def end_some_attempts(checker: RuleChecker, rng: random.Random, with_reports: bool) -> None:
    """End a random number of the open attempts with random outcomes."""
    while checker.open_attempts and rng.random() < 0.7:
        report = make_report(rng, with_reports)
        elapsed_ms = rng.choice((20.0, 3000.0))
        status = rng.choice(STATUSES)
        index = rng.randrange(len(checker.open_attempts))
        checker.end_attempt(index, status, elapsed_ms=elapsed_ms, report=report)


@pytest.mark.parametrize("may_hedge", [False, True])
def test_the_rules_hold_under_all_settings(may_hedge: bool) -> None:
    """Checks each action of a router with random outcomes, under every combination of settings."""
    for seed, (parents, with_reports, grace_ms, peer_fill, fill_reporting) in enumerate(COMBINATIONS):
        rng = random.Random(seed)
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
        checker = RuleChecker((*EDGES, *OTHER_ZONES, COLD, *parents, ORIGIN), settings)
        for _ in range(60):
            checker.request(rng.choice(classes), rng.randrange(40))
            end_some_attempts(checker, rng, with_reports)
            checker.advance(rng.choice((5.0, 60.0)))
        checker.advance(6000.0)
        assert sorted(checker.answered) == sorted(checker.classes)  # one final answer each


def test_the_stale_grace_is_read_only_if_a_stale_copy_has_a_value() -> None:
    data = {"name": "a", "aimMs": 1.0, "giveUpMs": 2.0, "idempotency": "safe"}
    for value_share, grace in ((0.7, 30.0), (0.0, 0.0)):
        reader = SettingsReader({"classFreshMs": [9.0], "staleForMs": [30.0], "staleEarns": [value_share]})
        assert read_class(data, 0, reader).stale_grace_ms == grace
