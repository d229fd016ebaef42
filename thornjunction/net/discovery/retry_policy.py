"""Delays and timeouts of a watch's connections and polls, derived from consecutive failures."""

from __future__ import annotations

import random

from thornjunction.net.discovery.resynchronization import MAX_BUFFERED_BODY_BYTES
from thornjunction.net.event_loop.backoff import exponential_backoff

# Timeout of the first attempt to connect.
MIN_CONNECT_TIMEOUT_MS = 400.0
# Longest such timeout; it doubles with each attempt that timed out.
MAX_CONNECT_TIMEOUT_MS = 1600.0
# Pause before the first retry.
MIN_RETRY_DELAY_MS = 50.0
# Longest such pause; it is shorter than the grace period of a draining server.
MAX_RETRY_DELAY_MS = 400.0
# Pause after a long response without a new event, because parsing such a response takes much CPU time.
MIN_DISCARDED_RESPONSE_DELAY_MS = 400.0
# Longest such pause.
MAX_DISCARDED_RESPONSE_DELAY_MS = 5000.0
# Longest grace period of a response.  Together with the poll itself it stays below the 7 s after which the
# protocol considers an event received, and below the time that the protocol allows for a poll.
MAX_RESPONSE_GRACE_MS = 5000.0
# Smallest factor by which jitter shortens a delay.
MIN_JITTER = 0.5


class RetryPolicy:
    """Counts consecutive failures of a watch, and derives its delays and timeouts from them.

    Attributes:
        failures: connections that failed or ended soon after a response.
        connect_timeouts: attempts to connect that timed out.
        response_timeouts: polls whose response timed out.
        discarded_responses: long responses without a new event.
    """

    def __init__(self) -> None:
        self.failures = 0
        self.connect_timeouts = 0
        self.response_timeouts = 0
        self.discarded_responses = 0

    def reset_for_address(self) -> None:
        """Reset the counts for a new address, except for response timeouts, which count across addresses."""
        self.failures = 0
        self.connect_timeouts = 0
        self.discarded_responses = 0

    def connect_timeout_ms(self) -> float:
        """Timeout of the next attempt to connect."""
        return exponential_backoff(MIN_CONNECT_TIMEOUT_MS, self.connect_timeouts, MAX_CONNECT_TIMEOUT_MS)

    def response_grace_ms(self, initial_ms: float) -> float:
        """Additional time for a response to arrive; it doubles with each response timeout."""
        return exponential_backoff(initial_ms, self.response_timeouts, MAX_RESPONSE_GRACE_MS)

    def record_response_end(self, discarded_bytes: int, is_useful: bool) -> None:
        """Record the end of a response, complete or not.

        Args:
            discarded_bytes: bytes that were read after the last new event.
            is_useful: whether the response contained a new event, or the source kept the poll open.
        """
        if discarded_bytes > MAX_BUFFERED_BODY_BYTES:
            self.discarded_responses += 1
        elif is_useful:
            self.discarded_responses = 0

    def retry_delay_ms(self, attempts: int, is_jittered: bool = False) -> float:
        """Pause before the next attempt, after this number of consecutive attempts without progress."""
        delay_ms = exponential_backoff(MIN_RETRY_DELAY_MS, max(attempts - 1, 0), MAX_RETRY_DELAY_MS)
        if self.discarded_responses:
            discarded_delay_ms = exponential_backoff(
                MIN_DISCARDED_RESPONSE_DELAY_MS,
                self.discarded_responses - 1,
                MAX_DISCARDED_RESPONSE_DELAY_MS,
            )
            delay_ms = max(delay_ms, discarded_delay_ms)
        if is_jittered or self.discarded_responses:
            return delay_ms * (MIN_JITTER + random.random() * (1.0 - MIN_JITTER))
        return delay_ms
