"""When a watch connects and polls again, by what has failed in a row."""

from __future__ import annotations

import random

from thornjunction.net.discovery.resynchronization import MAX_BUFFERED_BODY_BYTES
from thornjunction.net.event_loop.backoff import exponential_backoff

# Time for a connection to come up at first.
MIN_CONNECT_TIMEOUT_MS = 400.0
# The longest such time; it doubles with each attempt that timed out.
MAX_CONNECT_TIMEOUT_MS = 1600.0
# Pause before the first retry.
MIN_RETRY_DELAY_MS = 50.0
# The longest such pause; it is shorter than a draining server's grace.
MAX_RETRY_DELAY_MS = 400.0
# Pause after a long response without a new event: parsing one takes a core's time.
MIN_DISCARDED_RESPONSE_DELAY_MS = 400.0
# The longest such pause.
MAX_DISCARDED_RESPONSE_DELAY_MS = 5000.0
# The longest grace of a response: with the poll itself it stays under the 7 s after which the protocol takes
# an event as received, and under the time that the protocol allows for a poll.
MAX_RESPONSE_GRACE_MS = 5000.0
# The smallest part of a delay that remains where it is drawn at random.
MIN_JITTER = 0.5


class RetryPolicy:
    """Counts failures of a watch that follow each other, and derives its delays and timeouts from them.

    Attributes:
        failures: connections that failed, or ended soon after a response.
        connect_timeouts: attempts to connect that timed out.
        response_timeouts: polls without a response in time.
        discarded_responses: long responses that were read without a new event.
    """

    def __init__(self) -> None:
        self.failures = 0
        self.connect_timeouts = 0
        self.response_timeouts = 0
        self.discarded_responses = 0

    def reset_for_address(self) -> None:
        """Forget what failed at one address, because another is used; silences count over all addresses."""
        self.failures = 0
        self.connect_timeouts = 0
        self.discarded_responses = 0

    def connect_timeout_ms(self) -> float:
        """Time for the next connection to come up."""
        return exponential_backoff(MIN_CONNECT_TIMEOUT_MS, self.connect_timeouts, MAX_CONNECT_TIMEOUT_MS)

    def response_grace_ms(self, initial_ms: float) -> float:
        """How much later than asked a response may come; the grace doubles with each silence."""
        return exponential_backoff(initial_ms, self.response_timeouts, MAX_RESPONSE_GRACE_MS)

    def record_response_end(self, discarded_bytes: int, is_useful: bool) -> None:
        """Count the end of a response, complete or not.

        Args:
            discarded_bytes: bytes that were read after the last new event.
            is_useful: whether the response held a new event, or the source held the poll.
        """
        if discarded_bytes > MAX_BUFFERED_BODY_BYTES:
            self.discarded_responses += 1
        elif is_useful:
            self.discarded_responses = 0

    def retry_delay_ms(self, attempts: int, is_jittered: bool = False) -> float:
        """Pause before the next attempt, after so many in a row without progress."""
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
