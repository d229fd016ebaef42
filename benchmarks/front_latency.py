"""Latency a request adds at the second front: the real core and pool, a stand-in shelf on loopback, and one
keep-alive connection a front; requests one after another, in alternating rounds so that both fronts see
the same machine.  ``PYTHONPATH=. python benchmarks/front_latency.py [ROUNDS]``; prints a Markdown table.

Bounded: ROUNDS (default 10) rounds of 200 requests a front, and 120 s at most."""

from __future__ import annotations

import statistics
import sys
import time
from typing import Any

from fakes.clients import FastCgiClient, HttpClient, encode_fastcgi_request
from fakes.loopback_environment import LoopbackEnvironment
from twisted.internet import task
from twisted.internet.defer import inlineCallbacks

from tests.loopback import CLIP, make_loopback_environment
from tests.net.wire.test_codecs import PARAMS

PER_ROUND, LIMIT_S = 200, 120.0
FCGI = PARAMS | {"SCRIPT_NAME": "/do/films", "HTTP_X_ROW": "7f3a9c21e0b4d655"}


@inlineCallbacks
def one_round(
    rig: LoopbackEnvironment, signed: HttpClient, fcgi: FastCgiClient, spent: dict[str, list[float]]
) -> Any:
    for number in range(PER_ROUND):
        target = rig.sign_target(CLIP)  # issued outside the time measured
        start = time.perf_counter()
        signed.send_request(target)
        yield signed.wait_for_answers(len(signed.responses) + 1)
        spent["signed"].append(time.perf_counter() - start)
        start, ident = time.perf_counter(), number % 60_000 + 1
        ended = fcgi.wait_for_answers(len(fcgi.end_records()) + 1)
        fcgi.transport.write(encode_fastcgi_request(ident, FCGI))
        yield ended
        spent["platform"].append(time.perf_counter() - start)


@inlineCallbacks
def measure(rounds: int) -> Any:
    rig = make_loopback_environment()
    signed, fcgi = (yield rig.connect_client()), (yield rig.connect_client(3, FastCgiClient))
    spent: dict[str, list[float]] = {"platform": [], "signed": []}
    end = time.monotonic() + LIMIT_S
    for _ in range(rounds):
        if time.monotonic() > end:
            break
        yield one_round(rig, signed, fcgi, spent)
    signed.transport.loseConnection()
    fcgi.transport.loseConnection()
    yield rig.stop()
    print("| front | requests | p50 µs | p99 µs |\n|---|---|---|---|")
    for name, told in spent.items():
        cuts = statistics.quantiles(told, n=100)
        print(f"| {name} | {len(told):,} | {cuts[49] * 1e6:.0f} | {cuts[98] * 1e6:.0f} |")
    platform, front = (statistics.quantiles(spent[n], n=100) for n in ("platform", "signed"))
    print(
        f"\nadded by the second front: p50 {(front[49] - platform[49]) * 1e6:.0f} µs, "
        f"p99 {(front[98] - platform[98]) * 1e6:.0f} µs; ratio of p50 {front[49] / platform[49]:.2f}"
    )


def main() -> None:
    rounds = int(sys.argv[1]) if len(sys.argv) > 1 else 10
    task.react(lambda _: measure(rounds))


if __name__ == "__main__":
    main()
