"""Which of many equal occurrences are reported, so that a flood of them cannot fill a log."""

from __future__ import annotations


def is_power_of_two(count: int) -> bool:
    """Return whether the occurrence of this number is reported: the 1st, 2nd, 4th, 8th and so on."""
    return count.bit_count() == 1
