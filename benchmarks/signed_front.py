"""Measures token verification of the second front on one core, and the memory of its replay window.

    PYTHONPATH=. python benchmarks/signed_front.py [SECONDS]

Prints Markdown tables: tokens verified per second by algorithm, and the replay window's memory at its limit.
Each row of the first takes at most SECONDS of CPU time. No network.
"""

from __future__ import annotations

import statistics
import time
import tracemalloc
from dataclasses import dataclass

import click
from benchmark_tools.command_line import time_limit
from benchmark_tools.tables import markdown_head, markdown_row, markdown_table
from joserfc.jwk import ECKey, OctKey

from thornjunction.signing import tokens
from thornjunction.signing.replay import ENTRY_BYTES, ReplayWindow, replay_key

URI = "https://cams.example/films/17/7f3a9c21e0b4d655/0"
URI_PATTERN = r"regex:https://cams\.example/films/[0-9]+/.*"
NOW_S = 1_000_000.0
TOKEN_LIFETIME_S = 600
ISSUER = "R"
AUDIENCE = "tj"
KEY_ID = "k"
ALGORITHMS = ("HS256", "ES256")
UNBOUNDED_WINDOW_BYTES = 1 << 30
# Numbers of tokens issued: a token with an identifier (jti) is accepted once, one without it repeatedly.
TOKENS_WITH_IDENTIFIER = 20_000
TOKENS_WITHOUT_IDENTIFIER = 2_000
MAX_VERIFICATIONS = 200_000
WINDOW_BOUNDS_MIB = (0.25, 1, 2, 8, 32)
MIB = 1 << 20
WINDOW_SLOT_S = 10.0
WINDOW_HORIZON_S = 86_400.0


def build_trust(algorithm: str) -> tokens.Trust:
    """Return the trust settings of one key of this algorithm."""
    key = ECKey.generate_key("P-256") if algorithm == "ES256" else OctKey.import_key("s" * 40)
    signing_key = tokens.SigningKey(KEY_ID, algorithm, key)
    return tokens.Trust(frozenset({ISSUER}), AUDIENCE, (algorithm,), {KEY_ID: signing_key}, KEY_ID)


@dataclass(frozen=True, slots=True)
class VerificationCost:
    """Tokens verified per second, and the 99th percentile of the duration of a verification."""

    tokens_per_s: float
    p99_us: float


def issue_tokens(trust: tokens.Trust, container: str, with_identifier: bool) -> list[str]:
    """Return tokens for the container, each with a unique identifier (jti), or without identifiers."""
    if with_identifier:
        return [
            tokens.issue(trust, container, NOW_S, TOKEN_LIFETIME_S, jti=str(number))
            for number in range(TOKENS_WITH_IDENTIFIER)
        ]
    return [tokens.issue(trust, container, NOW_S, TOKEN_LIFETIME_S) for _ in range(TOKENS_WITHOUT_IDENTIFIER)]


def measure_verification(
    algorithm: str, container: str, with_identifier: bool, seconds: float
) -> VerificationCost:
    """Verify tokens for ``seconds`` of CPU time, or until each identifier has been used."""
    trust = build_trust(algorithm)
    window = ReplayWindow(cap_bytes=UNBOUNDED_WINDOW_BYTES)
    issued = issue_tokens(trust, container, with_identifier)
    max_verifications = len(issued) if with_identifier else MAX_VERIFICATIONS
    durations_s: list[float] = []
    until_s = time.process_time() + seconds
    while time.process_time() < until_s and len(durations_s) < max_verifications:
        token = issued[len(durations_s) % len(issued)]
        begin_s = time.perf_counter()
        tokens.verify(token, URI, trust, window, NOW_S)
        durations_s.append(time.perf_counter() - begin_s)
    p99_us = statistics.quantiles(durations_s, n=100)[98] * 1e6
    return VerificationCost(len(durations_s) / sum(durations_s), p99_us)


@dataclass(frozen=True, slots=True)
class WindowMemory:
    """Number of entries of a full replay window, and the memory that it uses."""

    entries: int
    used_bytes: int


def measure_window(bound_bytes: int) -> WindowMemory:
    """Fill a replay window up to its memory limit and return its size."""
    tracemalloc.start()
    before_bytes, _ = tracemalloc.get_traced_memory()
    window = ReplayWindow(cap_bytes=bound_bytes, slot_s=WINDOW_SLOT_S, horizon_s=WINDOW_HORIZON_S)
    slots = int(WINDOW_HORIZON_S / WINDOW_SLOT_S)
    number = 0
    while window.accept(
        replay_key(ISSUER, str(number)), NOW_S + number % slots * WINDOW_SLOT_S, NOW_S
    ).accepted:
        number += 1
    after_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return WindowMemory(len(window), after_bytes - before_bytes)


def print_verification(seconds: float) -> None:
    """Print the table of token verification, with a row after each measurement."""
    containers = {"hash": "hash:" + tokens.uri_hash(URI), "regex": URI_PATTERN}
    print(markdown_head(("algorithm", "container", "jti", "tokens/s, one core", "p99 µs")))
    for algorithm in ALGORITHMS:
        for name, container in containers.items():
            for with_identifier in (False, True):
                cost = measure_verification(algorithm, container, with_identifier, seconds)
                identifier = "yes" if with_identifier else "no"
                figures = (f"{cost.tokens_per_s:,.0f}", f"{cost.p99_us:.0f}")
                print(markdown_row((algorithm, name, identifier, *figures)), flush=True)


def print_window() -> None:
    """Print the table of the replay window's memory by its limit."""
    rows = []
    for bound_mib in WINDOW_BOUNDS_MIB:
        memory = measure_window(int(bound_mib * MIB))
        share = memory.used_bytes / (bound_mib * MIB)
        rows.append((f"{bound_mib} MiB", f"{memory.entries:,}", f"{memory.used_bytes:,}", f"{share:.2f}"))
    columns = ("cap", "entries at the cap", "bytes used at the cap", "share of the cap")
    print("\n" + markdown_table(columns, rows))
    print(f"\nassumed by the replay window: {ENTRY_BYTES} bytes per entry")


@click.command(help=__doc__)
@click.argument("seconds", default=3.0)
def main(seconds: float) -> None:
    """Measure token verification and the replay window."""
    with time_limit():
        print_verification(seconds)
        print_window()


if __name__ == "__main__":
    main()
