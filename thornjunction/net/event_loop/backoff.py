"""How long to wait before the next try, and which of many failures are told."""

from __future__ import annotations

LOG_EACH = 256  # of failures in a row, so many are one line: some 100 s at the longest wait


def exponential_backoff(first: float, times: int, most: float) -> float:
    """Doubled so many times, up to a bound."""
    return min(first * 2.0 ** min(times, 10), most)


def should_log(count: int) -> bool:
    """Of so many in a row: the first, the second, the fourth and so on, later one in LOG_EACH."""
    return count & (count - 1) == 0 or count % LOG_EACH == 0
