"""Log thinning: selects which of many equal occurrences are reported, so that they cannot fill the log."""

from __future__ import annotations


def is_power_of_two(count: int) -> bool:
    """Return whether ``count`` is a power of two: the 1st, 2nd, 4th, 8th occurrence is reported."""
    return count.bit_count() == 1
