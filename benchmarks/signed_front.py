"""Figures of the second front on one core: tokens verified per second by algorithm, and the replay window's
memory at its cap.  ``python benchmarks/signed_front.py [SECONDS]``; prints a Markdown table.

Each figure is one run of a bounded loop (at most SECONDS of process time per row); no network."""

from __future__ import annotations

import statistics
import sys
import time
import tracemalloc

from joserfc.jwk import ECKey, OctKey

from thornjunction.signing import tokens
from thornjunction.signing.replay import ENTRY_BYTES, ReplayWindow, replay_key

URI = "https://cams.example/films/17/7f3a9c21e0b4d655/0"
NOW = 1_000_000.0


def trust(algorithm: str) -> tokens.Trust:
    key = ECKey.generate_key("P-256") if algorithm == "ES256" else OctKey.import_key("s" * 40)
    signing = tokens.SigningKey("k", algorithm, key)
    return tokens.Trust(frozenset({"R"}), "tj", (algorithm,), {"k": signing}, "k")


def verify_rate(algorithm: str, container: str, seconds: float, jti: bool) -> tuple[float, float]:
    """Tokens a second, and the p99 of one verification in microseconds."""
    told = trust(algorithm)
    window = ReplayWindow(cap_bytes=1 << 30)
    count = 20_000 if jti else 2_000  # each jti is taken once: as many tokens as verifications
    made = [tokens.issue(told, container, NOW, 600, **({"jti": str(n)} if jti else {})) for n in range(count)]
    spent: list[float] = []
    end = time.process_time() + seconds
    while time.process_time() < end and len(spent) < (count if jti else 200_000):
        token = made[len(spent) % count]
        start = time.perf_counter()
        tokens.verify(token, URI, told, window, NOW)
        spent.append(time.perf_counter() - start)
    return len(spent) / sum(spent), statistics.quantiles(spent, n=100)[98] * 1e6


def window_memory(cap_bytes: int) -> tuple[int, int]:
    """Entries at the cap, and the bytes they took, by tracemalloc."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    window = ReplayWindow(cap_bytes=cap_bytes, slot_s=10.0, horizon_s=86_400.0)
    n = 0
    while window.accept(replay_key("R", str(n)), NOW + (n % 8640) * 10, NOW).accepted:
        n += 1
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return len(window), used


def main() -> None:
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 3.0
    hashed, pattern = "hash:" + tokens.uri_hash(URI), r"regex:https://cams\.example/films/[0-9]+/.*"
    print("| algorithm | container | jti | tokens/s, one core | p99 µs |\n|---|---|---|---|---|")
    for algorithm in ("HS256", "ES256"):
        for name, container in (("hash", hashed), ("regex", pattern)):
            for jti in (False, True):
                rate, p99 = verify_rate(algorithm, container, seconds, jti)
                print(f"| {algorithm} | {name} | {'yes' if jti else 'no'} | {rate:,.0f} | {p99:.0f} |")
    print("\n| cap | entries at the cap | bytes used at the cap | share of the cap |\n|---|---|---|---|")
    for cap_mb in (0.25, 1, 2, 8, 32):
        entries, used = window_memory(int(cap_mb * (1 << 20)))
        print(f"| {cap_mb} MiB | {entries:,} | {used:,} | {used / (cap_mb * (1 << 20)):.2f} |")
    print(f"\nstated: {ENTRY_BYTES} bytes an entry")


if __name__ == "__main__":
    main()
