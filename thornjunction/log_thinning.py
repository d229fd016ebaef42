"""Which of many equal occurrences are logged, so that a flood of them cannot fill the log."""

from __future__ import annotations

# Occurrences between two that are logged, once there have been many: some 100 s apart at the longest backoff.
MAX_UNLOGGED = 256


def is_power_of_two(count: int) -> bool:
    """Return whether the occurrence of this number is logged: the 1st, 2nd, 4th, 8th and so on."""
    return count.bit_count() == 1


def should_log(failures: int) -> bool:
    """Return whether to log after this many failures in a row: a power of two or a multiple of 256."""
    return is_power_of_two(failures) or failures % MAX_UNLOGGED == 0
