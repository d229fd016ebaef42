"""Measures the latency that the second front adds to a request; both fronts run in this process.

    PYTHONPATH=. python benchmarks/front_latency.py [ROUNDS]

The router's core and connection pool run with a fake cache server on loopback, and one keep-alive connection
to each front. Requests are sent one at a time, alternately to both fronts, so that other load on the machine
affects both alike. Prints a Markdown table. ROUNDS rounds of 200 requests to each front run, for 120 s at
most.
"""

from __future__ import annotations

import statistics
import time
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from typing import Any

import click
from benchmark_tools.decision_servers import FILMS, KEYED, SETTINGS
from benchmark_tools.tables import print_table
from fakes.clients import FastCgiClient, HttpClient, encode_fastcgi_request
from fakes.event_loop import Steps
from fakes.loopback_environment import LoopbackEnvironment, PortIndex
from joserfc.jwk import OctKey
from twisted.internet import task
from twisted.internet.defer import inlineCallbacks

from thornjunction.signing import tokens

REQUESTS_PER_ROUND = 200
TIME_LIMIT_S = 120.0
BASE_URL = "https://cams.example"
TARGET = "/films/17/7f3a9c21e0b4d655/0"
SIGNING_KEY = tokens.SigningKey("key", "HS256", OctKey.import_key("s" * 40))
TRUST = tokens.Trust(frozenset({"Reefline"}), "tj", ("HS256",), {"key": SIGNING_KEY}, "key", 5.0)
FASTCGI_PARAMS = {
    "SCRIPT_NAME": "/do/films",
    "HTTP_X_TXN": "9b1f03aa5c7e2d41",
    "HTTP_X_ROW": "7f3a9c21e0b4d655",
    "HTTP_X_TTL_MS": "1500",
    "HTTP_X_WORKING_SET_KB": "412.5",
    "LONG": "x" * 300,
}


@dataclass(frozen=True, slots=True)
class Latencies:
    """The latencies of all requests to each front: the platform's, and the signed second one."""

    platform_s: list[float] = field(default_factory=list)
    signed_s: list[float] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Percentiles:
    """The 50th and the 99th percentile of latencies."""

    p50_us: float
    p99_us: float

    @classmethod
    def of(cls, latencies_s: Sequence[float]) -> Percentiles:
        """Compute the percentiles of two latencies or more."""
        cuts = statistics.quantiles(latencies_s, n=100)
        return cls(cuts[49] * 1e6, cuts[98] * 1e6)


@inlineCallbacks
def measure_round(
    environment: LoopbackEnvironment, signed: HttpClient, fastcgi: FastCgiClient, latencies: Latencies
) -> Steps[None]:
    """Send requests alternately to the two fronts."""
    for number in range(1, REQUESTS_PER_ROUND + 1):
        target = environment.sign_target(TARGET)  # signed outside the measured time
        begin_s = time.perf_counter()
        signed.send_request(target)
        yield signed.wait_for_answers(len(signed.responses) + 1)
        latencies.signed_s.append(time.perf_counter() - begin_s)
        begin_s = time.perf_counter()
        answered = fastcgi.wait_for_answers(len(fastcgi.end_records()) + 1)
        fastcgi.transport.write(encode_fastcgi_request(number, FASTCGI_PARAMS))
        yield answered
        latencies.platform_s.append(time.perf_counter() - begin_s)


@inlineCallbacks
def measure(rounds: int) -> Steps[None]:
    """Measure up to ``rounds`` rounds and print the result."""
    settings = replace(SETTINGS, may_bypass_caches=True, may_send_retry_after=True, max_retry_after_ms=500.0)
    environment = LoopbackEnvironment(settings, (FILMS, KEYED), TRUST, BASE_URL)
    signed = yield environment.connect_client()
    fastcgi = yield environment.connect_client(PortIndex.FASTCGI_FRONT, FastCgiClient)
    latencies = Latencies()
    until_s = time.monotonic() + TIME_LIMIT_S
    for _ in range(rounds):
        if time.monotonic() > until_s:
            break
        yield measure_round(environment, signed, fastcgi, latencies)
    signed.transport.loseConnection()
    fastcgi.transport.loseConnection()
    yield environment.stop()
    print_latencies(latencies)


def print_latencies(latencies: Latencies) -> None:
    """Print the table and the latency that the second front adds."""
    platform = Percentiles.of(latencies.platform_s)
    signed = Percentiles.of(latencies.signed_s)
    rows = [
        ("platform", f"{len(latencies.platform_s):,}", f"{platform.p50_us:.0f}", f"{platform.p99_us:.0f}"),
        ("signed", f"{len(latencies.signed_s):,}", f"{signed.p50_us:.0f}", f"{signed.p99_us:.0f}"),
    ]
    print_table(("front", "requests", "p50 µs", "p99 µs"), rows)
    print(
        f"added by the second front: p50 {signed.p50_us - platform.p50_us:.0f} µs, "
        f"p99 {signed.p99_us - platform.p99_us:.0f} µs; ratio of p50 {signed.p50_us / platform.p50_us:.2f}"
    )


@click.command(help=__doc__)
@click.argument("rounds", default=10)
def main(rounds: int) -> None:
    """Measure the latencies of both fronts."""
    react: Any = task.react
    react(lambda _: measure(rounds))


if __name__ == "__main__":
    main()
