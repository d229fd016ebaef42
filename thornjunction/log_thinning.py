"""Limits on the logging of a repeated event, so that frequent repetitions cannot fill the log."""

from __future__ import annotations

# Once there have been many failures, every 256th is logged: about every 100 s at the longest backoff.
REPEAT_LOG_INTERVAL = 256


def is_power_of_two(count: int) -> bool:
    """Return whether to log the occurrence with this number: the 1st, 2nd, 4th, 8th and so on."""
    return count.bit_count() == 1


def should_log(failures: int) -> bool:
    """Return whether to log the failure with this number in a row: a power of two or a multiple of 256."""
    return is_power_of_two(failures) or failures % REPEAT_LOG_INTERVAL == 0
