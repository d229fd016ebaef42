"""Processor time that clients use without a request that reaches the core, and the bounds on it.

Such work is the reading of malformed requests, of records that belong to no request, of health checks and of
requests beyond a client's limits.  A client can cause any amount of it, so it has a small share of a core,
which the clients that use it up divide evenly.
"""

from __future__ import annotations

import time
from collections.abc import Callable

# Share of a core for the overhead of all clients that exceed their bursts.
OVERHEAD_SHARE = 0.1

# Overhead that a client may cause at once.
BURST_MS = 20.0

# The same before its first request that reaches the core.
NEW_CLIENT_BURST_MS = 5.0

# Overhead that a new client may always cause: what it takes to read the largest request.
MIN_NEW_CLIENT_BURST_MS = 1.0

# Overhead that one request that reaches the core makes up for: several times what it takes to read it.
REQUEST_CREDIT_MS = 1.0


def processor_ms() -> float:
    """Return the processor time that this process has used, in ms."""
    return time.process_time() * 1000.0


class DecayingAmount:
    """Overhead that decays with time."""

    __slots__ = ("_updated_ms", "value_ms")

    def __init__(self) -> None:
        self.value_ms = 0.0
        self._updated_ms = 0.0

    def decay(self, now_ms: float, decay_per_ms: float) -> None:
        """Decrease the amount for the time since the last call."""
        self.value_ms = max(self.value_ms - (now_ms - self._updated_ms) * decay_per_ms, 0.0)
        self._updated_ms = now_ms


class OverheadMeter:
    """What all clients of a process have in common: the clock of processor time, and the totals.

    Args:
        clock_ms: returns the processor time that the process has used.

    Attributes:
        total_ms: the overhead of all clients since the start.
        new_clients: the overhead of all clients before their first requests that reach the core, so that a
            client that reconnects gets no burst each time.
        limited: number of clients whose overhead exceeds their bursts.
    """

    def __init__(self, clock_ms: Callable[[], float] = processor_ms) -> None:
        self.clock_ms = clock_ms
        self.total_ms = 0.0
        self.new_clients = DecayingAmount()
        self.limited = 0

    @property
    def decay_per_ms(self) -> float:
        """The overhead that each client may cause in a millisecond."""
        return OVERHEAD_SHARE / max(self.limited, 1)


class ClientOverhead:
    """The overhead of one client, which decays at its part of ``OVERHEAD_SHARE``."""

    __slots__ = ("_amount", "_is_limited", "_is_new", "_meter", "_work_since_ms")

    def __init__(self, meter: OverheadMeter) -> None:
        self._meter = meter
        self._amount = DecayingAmount()
        self._is_new = True
        self._is_limited = False
        # Processor time at which the present work began.
        self._work_since_ms = 0.0

    def begin_work(self) -> None:
        """Begin to measure work for this client."""
        self._work_since_ms = self._meter.clock_ms()

    def end_overhead(self) -> None:
        """Count the work since the last call of a method as overhead."""
        now_ms = self._meter.clock_ms()
        worked_ms = now_ms - self._work_since_ms
        self._work_since_ms = now_ms
        self._amount.value_ms += worked_ms
        if self._is_new:
            self._meter.new_clients.value_ms += worked_ms
        self._meter.total_ms += worked_ms

    def end_request(self) -> None:
        """Count the work since the last call of a method as that of a request that reached the core."""
        self._work_since_ms = self._meter.clock_ms()
        self._is_new = False
        credit_ms = min(self._amount.value_ms, REQUEST_CREDIT_MS)
        self._amount.value_ms -= credit_ms
        self._meter.total_ms -= credit_ms

    @property
    def is_suspicious(self) -> bool:
        """Whether the client causes more overhead than usual, or is new."""
        return self._is_new or self._amount.value_ms > NEW_CLIENT_BURST_MS

    def wait_ms(self, now_ms: float) -> float:
        """Return the time until the client's overhead is within its burst; 0 if it is."""
        decay_per_ms = self._meter.decay_per_ms
        self._amount.decay(now_ms, decay_per_ms)
        excess_ms = self._new_client_excess_ms(now_ms) if self._is_new else self._amount.value_ms - BURST_MS
        self._set_limited(excess_ms > 0)
        return max(excess_ms, 0.0) / decay_per_ms

    def _new_client_excess_ms(self, now_ms: float) -> float:
        self._meter.new_clients.decay(now_ms, OVERHEAD_SHARE)
        excess_ms = self._amount.value_ms - NEW_CLIENT_BURST_MS
        if self._amount.value_ms <= MIN_NEW_CLIENT_BURST_MS:
            return excess_ms
        return max(excess_ms, self._meter.new_clients.value_ms - BURST_MS)

    def release(self) -> None:
        """Count the client as limited no more: its connection has ended."""
        self._set_limited(False)

    def _set_limited(self, is_limited: bool) -> None:
        self._meter.limited += is_limited - self._is_limited
        self._is_limited = is_limited
