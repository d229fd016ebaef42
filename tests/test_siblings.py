"""A deployment without parents, told load in answers: whose a late answer is, and copies of other caches."""

from __future__ import annotations

import itertools
import random
from dataclasses import replace

import pytest

from tests.helpers import EDGES, FILMS, KEYED, ORDER, ORIGIN, PAGES, PARENTS, Bench, edge, fetch_of, finals
from thornjunction import interface as api

AWAY = tuple(edge(f"{zone}{n}", zone=zone) for zone in ("there", "yonder") for n in range(2))
COLD = edge("cold", zone="there", weight=800.0, started_ms=999.0)
ALONE = {"notes": api.Notes.NONE, "siblings": api.Siblings.ANY, "may_join": False, "weighted": True}


def alone(**more: object) -> Bench:
    bench = Bench((*EDGES, *AWAY, COLD, ORIGIN), **{**ALONE, **more})
    bench.router.behind.share = bench.router.behind.open_rate = 0.0  # the origin is under strain
    return bench


@pytest.mark.parametrize(("busy", "at_fault"), [(0.1, "behind"), (1.0, "cache"), (None, "cache")])
def test_a_slow_origin_does_not_shut_the_gates_of_idle_caches(busy: float | None, at_fault: str) -> None:
    """Guards against a guess: what was asked before is likely held, and after a purge it is not."""
    bench = Bench((*EDGES, ORIGIN), **ALONE)
    for turn in range(12):
        fetch = fetch_of(bench.ask(key=1))
        report = api.Report(busy=busy)
        bench.answer(fetch, took_ms=5000.0 if turn else 10.0, note=api.Note.NONE, report=report)
        if min(bench.router.behind.share, bench.router.places.servers[fetch.server].gate.share) < 0.9:
            break
    shares = {
        "behind": bench.router.behind.share,
        "cache": min(bench.router.places.servers[e.server].gate.share for e in EDGES),
    }
    assert shares.pop(at_fault) < 0.9 and set(shares.values()) == {1.0}


def test_what_the_origin_cannot_give_now_is_sought_at_two_other_caches() -> None:
    bench = alone()
    first = fetch_of(bench.ask(key=1))
    second = fetch_of(bench.answer(first, api.Status.MISS))
    named = {first.source, second.source}
    assert first.held_only and second.held_only and len(named) == 2
    assert not named & {first.server, "origin", "cold"}
    assert finals(bench.answer(second, api.Status.MISS)) and bench.router.retries.saved == 15.0
    gone = api.Servers((replace(AWAY[0], state=api.State.DRAINING), *AWAY[1:]), whole=False)
    bench.give(gone)
    sources = [fetch_of(bench.ask(key=key)).source for key in range(40)]
    assert "there0" not in sources and "there1" in sources and "origin" not in sources


@pytest.mark.parametrize(
    ("siblings", "zones"), [(api.Siblings.NONE, set()), (api.Siblings.LOCATION, {"here"})]
)
def test_only_siblings_that_the_settings_allow_are_named(siblings: api.Siblings, zones: set[str]) -> None:
    bench = alone(siblings=siblings)
    fetches = [fetch_of(bench.ask(key=key)) for key in range(40)]
    where = {entry.server: entry.zone for entry in (*EDGES, *AWAY, COLD, ORIGIN)}
    assert {where[f.source] for f in fetches if f.source != f.server} == zones


def test_copies_past_their_fresh_time_do_while_the_origin_is_under_strain() -> None:
    classes = (replace(PAGES, grace_ms=30_000.0),)
    assert fetch_of(alone(classes=classes).ask(class_name="pages")).max_age_ms == 42_000.0
    assert fetch_of(Bench(classes=classes).ask(class_name="pages")).max_age_ms == 0.0
    bench = alone(classes=classes)
    bench.give(api.Purged(0, 100.0, 1))
    bench.wait(1000.0)
    assert fetch_of(bench.ask(class_name="pages")).max_age_ms <= 1100.0  # rule 5 goes first


TABLE = list(
    itertools.product(
        (False, True),  # a second copy may be out beside the first
        (PARENTS, ()),
        (False, True),  # reports in answers
        (0.0, 30_000.0),  # grace
        api.Siblings,
        api.Notes,
    )
)


@pytest.mark.parametrize("copies", [False, True])
def test_the_rules_hold_under_all_settings(copies: bool) -> None:
    """Every action of a router that sees random outcomes, under every combination of settings."""
    for place, (twice, parents, told, grace, siblings, notes) in enumerate(TABLE):
        if twice is not copies:
            continue
        chance = random.Random(place)
        kinds = (FILMS, replace(PAGES, grace_ms=grace), replace(KEYED, memory_ms=800.0), ORDER)
        bench = Bench(
            (*EDGES, *AWAY, COLD, *parents, ORIGIN),
            **{**ALONE, "classes": kinds, "may_copy": twice, "siblings": siblings, "notes": notes},
        )
        where = {e.server: e for e in (*EDGES, *AWAY, COLD, *parents, ORIGIN)}
        ran: dict[str, float] = {}  # request: when the first attempt that may have run was sent
        out: dict[str, list[api.Fetch]] = {}
        ended: dict[str, int] = {}
        kind_of: dict[str, api.RequestClass] = {}

        def check(actions: list[api.Action]) -> None:
            for action in actions:
                if isinstance(action, api.Refuse | api.Fail):
                    ended[action.request] = ended.get(action.request, 0) + 1  # noqa: B023
                if not isinstance(action, api.Fetch):
                    continue
                name, kind = action.request, kind_of[action.request]  # noqa: B023
                assert name not in ended and (twice or not out.get(name))  # noqa: B023
                limit = {api.Safety.SAFE: 1e9, api.Safety.KEYED: 800.0, api.Safety.UNSAFE: -1.0}[kind.safety]
                assert name not in ran or bench.now - ran[name] <= limit  # noqa: B023
                ran.setdefault(name, bench.now)  # noqa: B023
                out.setdefault(name, []).append(action)  # noqa: B023
                assert where[action.server] in EDGES  # noqa: B023
                source = where[action.source]  # noqa: B023
                if source.role is api.Role.EDGE and action.source != action.server:
                    near = source.zone == "here"
                    assert siblings is api.Siblings.ANY or (siblings is api.Siblings.LOCATION and near)  # noqa: B023
                    assert action.held_only and not kind.passes
                assert action.max_age_ms <= (kind.fresh_ms + kind.grace_ms or 0.0)

        for _ in range(150):
            kind = chance.choice(kinds)
            kind_of[str(bench.asked + 1)] = kind
            check(bench.ask(key=chance.randrange(40), class_name=kind.name))
            for name, fetches in list(out.items()):
                if fetches and chance.random() < 0.7:
                    fetch = fetches.pop(0)
                    status = chance.choice(list(api.Status)[:7] + [api.Status.MISS])
                    busy = api.Report(busy=chance.random(), link=chance.random()) if told else None
                    if status in (api.Status.BUSY, api.Status.REFUSED, api.Status.MISS) and not fetches:
                        ran.pop(name, None)
                    if status is api.Status.DONE:
                        ended[name] = ended.get(name, 0) + 1
                    took = chance.choice((20.0, 3000.0))
                    check(bench.answer(fetch, status, took_ms=took, note=api.Note.NONE, report=busy))
            check(bench.wait(chance.choice((5.0, 60.0))))
        check(bench.wait(6000.0))
        assert set(ended) == set(kind_of)
