"""Rule 2 over all tries of a client: which keyed request may have run, when and where."""

from __future__ import annotations

import math

from thornjunction import interface as api

EFFECTS, EFFECT_KEPT = 8192, 600_000.0  # keys of requests that may have run; ms for which they are known

Ran = tuple[float, api.ServerEntry]  # when and where; all that is kept by key: a job takes 1 KB

NEVER_RAN = {api.Status.BUSY, api.Status.REFUSED, api.Status.SKIPPED, api.Status.MISS}
LEAST_START = 25.0  # ms for a connection at least; each limit has 50 ms of slack on sockets


def window_left(kind: api.RequestClass, ran: Ran | None, now: float) -> float:
    """For how long a repeat is still discarded by those who may have run it."""
    if ran is None or kind.safety is api.Safety.SAFE:
        return math.inf
    return ran[0] + kind.memory_ms - now if kind.safety is api.Safety.KEYED else -math.inf


def discarded(kind: api.RequestClass, ran: Ran | None, entry: api.ServerEntry, left_ms: float) -> bool:
    """Whether a repeat sent to this server does no harm: what may have run is discarded there, and is so for
    longer than ``left_ms``."""
    if ran is None or kind.safety is api.Safety.SAFE:
        return True
    near = ran[1].zone == entry.zone if kind.group is api.Group.ZONE else ran[1].cell == entry.cell
    return left_ms > 0 and (near or kind.group is api.Group.ALL)


def start_ms(settings: api.Settings, left_ms: float) -> float:
    """How long an attempt may wait for its connection.  It was decided before what may be told meanwhile, a
    drain or a purge; so it has to begin before that binds.  A repeat has its window: ``left_ms``."""
    purge_ms = settings.purge_grace_ms if settings.purge_takes_ms else math.inf
    return min(max(min(settings.drain_grace_ms, purge_ms), LEAST_START), left_ms)


class Effects:
    """By idempotency key: the first attempt that may have run."""

    def __init__(self) -> None:
        self.ran: dict[str, Ran] = {}

    def may_note(self, effect: str, now: float) -> bool:
        """Rule 2 across a client's tries: what may have run is known by its key while a try may come.
        Where no room is left for a new key, nothing is sent."""
        while self.ran and now - next(iter(self.ran.values()))[0] > EFFECT_KEPT:
            del self.ran[next(iter(self.ran))]
        return not effect or effect in self.ran or len(self.ran) < EFFECTS

    def settle(self, effect: str, ran: Ran, other: Ran | None) -> None:
        """An attempt that proves it never ran leaves its key to another that is out, or to none."""
        if self.ran.get(effect) is ran:
            del self.ran[effect]
            if other is not None:
                self.ran[effect] = other
