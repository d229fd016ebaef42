"""Gates: what share of new work may go on, learnt from how the last work ended.

Additive opening and multiplicative shutting (Chiu and Jain, 1989), as in TCP's congestion avoidance."""

from __future__ import annotations

import math
from collections.abc import Callable

CUT, RAISE, LEAST = 0.85, 0.04, 0.05  # a fifth late leaves it open, a half late one third
OPEN = 0.00015  # of all, opened a ms: seven seconds from shut to open
LARGEST = 0.7  # of its class's chance: what the largest have at least; half of its answers are owed to them
SPAN_MS, MOST = 50.0, 9.0  # since the last answer: an answer speaks for that time, as so many at most


class Gate:
    """Lets through a share by the answers in time: it holds for one busy front and for hundreds that have one
    request out each, as a count would not.  Large requests give way first: more are served for the bytes.
    Within a class they do so up to a bound, or what is large would hardly be served at all.

    One of hundreds of fronts gets few answers.  So a late one weighs more, the longer none came before it: it
    speaks for the many that others got meanwhile.  And the gate opens with time too."""

    def __init__(self, open_rate: float = OPEN) -> None:
        self.open_rate, self.share, self.at, self.told = open_rate, 1.0, 0.0, -math.inf

    def answer(self, late: bool, now: float) -> None:
        """An answer came, in time or late (refused as full is late too)."""
        weight = min(1.0 + max(now - self.told, 0.0) / SPAN_MS, MOST)
        self.look(now)
        self.told = now
        self.share = max(CUT**weight * self.share, LEAST) if late else min(self.share + RAISE, 1.0)

    def look(self, now: float) -> float:
        """The share at this time."""
        self.share, self.at = min(self.share + self.open_rate * max(now - self.at, 0.0), 1.0), now
        return self.share

    def lets(self, now: float, draw: Callable[[], float], weight: float = 1.0, usual: float = 1.0) -> bool:
        """Whether one more may go on; ``weight``: its bytes over the mean of all; ``usual``: its class's."""
        share = self.look(now)
        return share >= 1 or draw() < max(share**weight, LARGEST * share**usual)
