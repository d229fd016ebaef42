"""How long an attempt may wait for its connection before it must not begin any more."""

from __future__ import annotations

import math

from thornjunction import interface as api

# ms that every attempt gets to connect; each limit of the settings has 50 ms of slack on sockets.
LEAST_START_MS = 25.0


def start_limit_ms(settings: api.Settings, repeat_window_ms: float) -> float:
    """Return the ms within which an attempt that is decided now must begin.

    Meanwhile a drain or a purge may be announced, which binds after its grace; the attempt must begin
    before that. A repeat must also begin within its window, ``repeat_window_ms``.
    """
    purge_grace_ms = settings.purge_grace_ms if settings.purge_propagation_ms else math.inf
    grace_ms = max(min(settings.drain_grace_ms, purge_grace_ms), LEAST_START_MS)
    return min(grace_ms, repeat_window_ms)
