"""What many routers do together that do not hear one another: the decisions alone, over a model of N routers.

    PYTHONPATH=. python benchmarks/capacity_fleet.py [--routers N...] [PART...]

Parts: ``connections`` (at a shelf, a parent, the origin), ``cold`` (the sums of cold servers' budgets),
``origin`` (what the origin is asked for), ``retries`` (what all have saved up) and ``keyed`` (requests whose
repeats must be known).  No sockets; seeds are fixed, so counts are the same each time."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from capacity_fit import fit, row, sized_main, table

from tests import test_fleet_origin as origin_model
from tests import test_slow_start_fleet as cold_model
from tests.helpers import ORIGIN, SETTINGS, RouterDriver, actions_of, edge, parent
from thornjunction import interface as api
from thornjunction.limits.idempotency import KEY_LIFETIME_MS, MAX_KEYS
from thornjunction.limits.retry_budget import MAX_FLEET_RETRIES
from thornjunction.net.upstream.connector import MAX_CONNECTIONS_PER_SERVER
from thornjunction.net.upstream.dispatcher import (
    MAX_CONNECTIONS_IF_CROWDED,
    MAX_CONNECTIONS_IF_EXHAUSTED,
    MAX_UNCROWDED_STREAMS,
)
from thornjunction.policy.router import Router

ROUTERS = (50, 200, 600, 1_200)
SITE_ROUTERS, SITE_EDGES, PARENTS, RATE = (
    21,
    7,
    33,
    742.0,
)  # 1,200 and 406 over 58 sites; requests a s a router
STREAMS, KEYED_SHARE = 32, 0.04  # on a connection; of requests that run at the origin
RUN_MS, KEYED_MS, KEYED_SPAN_MS = 300.0, 1_500_000.0, 600_000.0


class Pool:
    """Connections to each server by the rules of ``ConnectionPool``: one more beside those that are crowded,
    up to MAX_CONNECTIONS_IF_CROWDED, and where none has room, up to MAX_CONNECTIONS_IF_EXHAUSTED.  None
    closes: a run is shorter than their idle time."""

    def __init__(self) -> None:
        self.links: dict[str, list[int]] = {}  # by server: what is out on each
        self.where: dict[str, tuple[str, int]] = {}

    def send(self, request: str, server: str) -> None:
        links = self.links.setdefault(server, [0])
        at = min(range(len(links)), key=links.__getitem__)
        if links[at] >= STREAMS and len(links) < MAX_CONNECTIONS_IF_EXHAUSTED:
            links.append(0)
            at = len(links) - 1
        links[at] += 1
        self.where[request] = server, at
        if links[at] > MAX_UNCROWDED_STREAMS and len(links) < MAX_CONNECTIONS_IF_CROWDED:
            links.append(0)

    def ended(self, request: str) -> None:
        server, at = self.where.pop(request)
        self.links[server][at] -= 1


def connections_of(seed: int, answer_ms: float, routers: int) -> tuple[Pool, int]:
    """One router of a site under its share of the peak; its pool after RUN_MS, and its probes."""
    settings = replace(
        SETTINGS, router_count=routers, routers_by_zone={"here": SITE_ROUTERS}, may_bypass_caches=True
    )
    router, pool, draw, probes = Router(settings, seed), Pool(), random.Random(seed), 0
    servers = (
        *(edge(f"edge{n}") for n in range(SITE_EDGES)),
        *(parent(f"parent{n}") for n in range(PARENTS)),
    )
    due: list[tuple[float, int, api.Event]] = [(1_000.0, 0, api.EndpointListUpdate((*servers, ORIGIN)))]
    number = count = int(RATE * RUN_MS / 1_000)
    for one in range(count):
        kind = "keyed" if draw.random() < KEYED_SHARE else "films"
        asked = api.Request(
            f"r{one}", kind, draw.getrandbits(40), 5_000.0, size_kb=477.0, idempotency_key=f"{one}"
        )
        due.append((1_000.0 + draw.uniform(0.0, RUN_MS), one + 1, asked))
    heapq.heapify(due)
    while due and due[0][0] < 1_000.0 + RUN_MS:
        now, _, event = heapq.heappop(due)
        if isinstance(event, api.AttemptEnded):
            pool.ended(event.request_id)
        for action in router.handle(now, event):
            number += 1
            if isinstance(action, api.StartAttempt):
                pool.send(action.request_id, action.server)
                done = api.AttemptEnded(
                    action.request_id, 0, action.server, api.AttemptStatus.SUCCEEDED, answer_ms, final=True
                )
                heapq.heappush(due, (now + answer_ms, number, done))
            elif isinstance(action, api.SetTimer):
                heapq.heappush(due, (now + action.in_ms, number, api.TimerFired(action.token)))
            probes += isinstance(action, api.CheckHealth)
    return pool, probes


def connections(counts: tuple[int, ...]) -> None:
    for answer_ms in (80.0, 1_000.0):
        rows, points = [], []
        for routers in counts:
            held, probes = Counter[str](), 0
            for seed in range(routers):
                pool, sent = connections_of(seed, answer_ms, routers)
                probes += sent
                site = seed // SITE_ROUTERS
                for server, links in pool.links.items():
                    held[server if server == "origin" else f"{server} of {site}"] += len(links)
            shelf = max(many for name, many in held.items() if name.startswith("edge"))
            parents = sum(many for name, many in held.items() if name.startswith("parent"))
            points.append((routers, held["origin"]))
            most = SITE_ROUTERS * MAX_CONNECTIONS_IF_EXHAUSTED, routers * MAX_CONNECTIONS_IF_EXHAUSTED
            rows.append(row(routers, shelf, most[0], parents, held["origin"], most[1], probes))
        head = "routers | at the busiest shelf | at most | at all parents | at the origin | at most | probes"
        print(f"answers after {answer_ms:.0f} ms\n\n{table(head, rows)}")
        print(f"\nfit, origin: {fit(points).text('connections', 'a router', 3)}\n")
    print(
        f"bounds of a pool: {MAX_CONNECTIONS_IF_CROWDED} beside others with room, "
        f"{MAX_CONNECTIONS_IF_EXHAUSTED} where none has, {MAX_CONNECTIONS_PER_SERVER} in all\n"
    )


def cold_fleet(routers: int, rate: float, zone_fronts: int) -> dict[str, list[float]]:
    """When each cold server of the model was asked; ``rate``: requests a s a router."""
    draw = random.Random(routers)
    more = {"router_count": routers, "routers_by_zone": {"here": zone_fronts}, "may_hedge": True}
    sent: dict[str, list[float]] = {entry.server: [] for entry in cold_model.COLD}

    def play(bench: RouterDriver, actions: list[api.Action]) -> None:
        for fetch in actions_of(actions, api.StartAttempt):
            for name in {fetch.server, fetch.source} & sent.keys():
                sent[name].append(bench.now_ms)
            if draw.random() < 0.9:
                status = (
                    api.AttemptStatus.CONNECTION_RESET if draw.random() < 0.2 else api.AttemptStatus.SUCCEEDED
                )
                play(bench, bench.end_attempt(fetch, status))

    for place in range(routers):  # one at a time: none hears another
        bench = RouterDriver(entries=(*cold_model.WARM, *cold_model.COLD), **more)
        bench.router.random.seed(place)
        times = [draw.uniform(0.0, 4_000.0) for _ in range(int(rate * 4))]
        for at in sorted([*times, *[1_500.0] * 3, *[2_600.0] * 3]):
            bench.attempts.clear()
            play(bench, bench.advance(cold_model.START + at - bench.now_ms))
            bench.action_log.clear()
            play(bench, bench.request(draw.randrange(10_000), size_kb=cold_model.WORK * 5.0))
    return sent


def cold(counts: tuple[int, ...]) -> None:
    """All routers in one zone, so that an edge's budget has so many parts too."""
    rows, window = [], cold_model.WINDOW
    for rate in (1.0, 20.0):
        for routers in counts:
            sent = cold_fleet(routers, rate, routers)
            for entry in (cold_model.COLD[0], cold_model.COLD[-1]):
                times = sorted(sent[entry.server])
                used = sum(count_before(times, at, window) for at in times[-1:])
                worst = max(
                    (count_before(times, at, window) / cold_model.budget(entry.role, at) for at in times),
                    default=0.0,
                )
                last = cold_model.budget(entry.role, cold_model.START + 4_000.0)
                first = times[0] - cold_model.START if times else float("inf")
                role = entry.role.value
                rows.append(
                    row(f"{rate:.0f}", routers, role, f"{worst:.2f}", f"{used / last:.2f}", f"{first:.0f}")
                )
    head = "requests a s a router | routers | cold server | worst window over what is allowed "
    print(table(head + "| last window | first used after ms", rows) + "\n")


def count_before(times: list[float], end: float, window: float) -> int:
    return sum(end - window < at <= end for at in times)


def origin_play(routers: int, rate: float, bears: float) -> str:
    model = origin_model
    model.ROUTERS, model.RATE, model.BEARS = routers, rate, bears
    fleet = model.Fleet()
    fleet.play()
    seconds = int(model.SECONDS)
    asked = [fleet.demand[second] for second in range(seconds)]
    worst = max(sum(asked[at : at + 3]) for at in range(seconds - 2)) / (model.OVER * 3 * bears)
    back = range(int(model.BURST[1]) + 5, seconds - 1)
    calm = range(1, int(model.BURST[0]))
    good = [sum(fleet.good[s] for s in span) / sum(fleet.due[s] for s in span) for span in (calm, back)]
    return row(
        routers, f"{rate:g}", f"{bears:.0f}", len(fleet.falls), f"{worst:.2f}", *(f"{g:.3f}" for g in good)
    )


def origin(counts: tuple[int, ...]) -> None:
    """The model of ``tests/policy/test_fleet_origin.py``: as many requests in all, of more routers; and
    six times the fleet before an origin that bears six times as much."""
    total, bears = 200 * 6.0, 170.0
    rows = [origin_play(routers, total / routers, bears) for routers in counts]
    rows.append(origin_play(1_200, 6.0, 6 * bears))
    head = "routers | requests a s each | origin bears a s | falls | worst 3 s over what fells it "
    print(table(head + "| in time before | in time from 5 s after the burst", rows) + "\n")


def retries(counts: tuple[int, ...]) -> None:
    rows, points = [], []
    for routers in (4, 20, *counts):
        saved = routers * Router(replace(SETTINGS, router_count=routers), 1).state.retry_budget.tokens
        points.append((routers, saved))
        rows.append(
            row(routers, f"{saved:.0f}", f"{MAX_FLEET_RETRIES:.0f}", f"{saved / MAX_FLEET_RETRIES:.1f}")
        )
    print(table("routers | further attempts saved up by all | meant | times", rows))
    print(f"\nfit: {fit(points).text('attempts', 'a router')}\n")


def keyed_served(rate: float) -> tuple[float, float]:
    """Of keyed requests at a rate a router: the share that gets an attempt in the last KEYED_SPAN_MS, and the
    longest time in ms in which none does."""
    settings = replace(
        SETTINGS, router_count=1_200, routers_by_zone={"here": SITE_ROUTERS}, may_bypass_caches=True
    )
    router, now, sent, asked = Router(settings, 1), 0.0, list[float](), 0
    router.handle(now, api.EndpointListUpdate((edge("edge0"), ORIGIN)))
    while now < KEYED_MS:
        now += 1_000.0 / rate
        asked += 1
        event = api.Request(f"{asked}", "keyed", asked, 3_000.0, size_kb=10.0, idempotency_key=f"{asked}")
        for fetch in actions_of(router.handle(now, event), api.StartAttempt):
            sent.append(now)
            end = api.AttemptEnded(
                fetch.request_id, 0, fetch.server, api.AttemptStatus.SUCCEEDED, 1.0, final=True
            )
            router.handle(now, end)
    late = sum(at > KEYED_MS - KEYED_SPAN_MS for at in sent) / (KEYED_SPAN_MS / 1_000.0 * rate)
    return late, max(b - a for a, b in zip(sent, sent[1:], strict=False))


def keyed(_: tuple[int, ...]) -> None:
    rows = []
    for rate in (5, 10, 13, 15, 20, 30, 60):
        share, gap_ms = keyed_served(rate)
        rows.append(row(rate, f"{share:.3f}", f"{gap_ms / 1_000:.1f}"))
    print(table("keyed requests a s a router | share sent, of 10 minutes | longest s without one", rows))
    span_s = KEY_LIFETIME_MS / 1_000
    print(f"\nbound: {MAX_KEYS} keys for {span_s:.0f} s: {MAX_KEYS / span_s:.2f} a s\n")


PARTS: dict[str, Callable[[tuple[int, ...]], None]] = {
    "connections": connections,
    "cold": cold,
    "origin": origin,
    "retries": retries,
    "keyed": keyed,
}


if __name__ == "__main__":
    sized_main(__doc__, "--routers", ROUTERS, PARTS)
