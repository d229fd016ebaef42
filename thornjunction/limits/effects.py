"""Rule 2 over all tries of a client: which keyed request may have run, when and where."""

from __future__ import annotations

from thornjunction import interface as api

EFFECTS, EFFECT_KEPT = 8192, 600_000.0  # keys of requests that may have run; ms for which they are known

Ran = tuple[float, api.ServerEntry]  # when and where; all that is kept by key: a job takes 1 KB


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
