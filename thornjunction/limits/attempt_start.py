"""The start limit: how long an attempt may wait for its connection before it must not begin."""

from __future__ import annotations

import math

from thornjunction import interface as api

# Lower bound of the start limit, so that an attempt can connect; the protocol allows 50 ms of slack on
# limits.
MIN_START_MS = 25.0


def start_limit_ms(settings: api.Settings, repeat_window_ms: float) -> float:
    """Return the ms within which an attempt that is decided now must begin.

    A drain or a purge may be announced in the meantime. It takes effect after its grace period, so the
    attempt must begin within that. A repeat must also begin within ``repeat_window_ms``.
    """
    purge_grace_ms = settings.purge_grace_ms if settings.purge_propagation_ms else math.inf
    grace_ms = max(min(settings.drain_grace_ms, purge_grace_ms), MIN_START_MS)
    return min(grace_ms, repeat_window_ms)
