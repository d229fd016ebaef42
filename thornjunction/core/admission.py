"""Keeps the process from taking on more than its core can decide in time.

Measured on the calm day: one router is asked for 2,000 to 5,000 requests a second, and decides at most about
2,000.  Without this, all wait together until all are late, and the module's gates shut on healthy shelfs.
"""

from __future__ import annotations

from collections.abc import Callable

TICK_MS, LATE_MS = 20.0, 20.0  # between looks at the loop; how late a look may come
FULL = 0.85  # of what the core gives us, in use: past it fewer are admitted; queues grow without end near 1
SMOOTH = 0.1  # of a look, in that use: the last ten looks.  A single one of a healthy core is often full
BUSY = 0.5  # in use, at the least, where a late look is our own work's doing
MOST_OPEN = 384  # requests at once: half as many again as a calm day holds open; past it all get later
FADE = 0.98  # of the greatest lateness, kept from look to look
CUT, EASE, RAISE, LEAST = 0.9, 0.97, 0.01, 0.1  # of the admitted share: late, full, neither


class Admission:
    """Admits a share of new requests, by how late the event loop runs and by how many are open."""

    def __init__(self, draw: Callable[[], float], cores: float = 1.0) -> None:
        self.draw, self.cores, self.share, self.late_ms = draw, cores, 1.0, 0.0
        self.used = 0.0  # of what the core gives us, smoothed

    def looked(self, late_ms: float, used: float) -> None:
        """``used``: share of a core since the last look.  Very late counts as several late looks; late with
        next to nothing used means that the process was kept from running, which no refusal mends."""
        self.late_ms, used = max(late_ms, self.late_ms * FADE), used / self.cores
        self.used += SMOOTH * (used - self.used)
        if late_ms > LATE_MS and used > BUSY:
            self.share = max(self.share * CUT ** min(late_ms / LATE_MS, 4.0), LEAST)
        elif self.used > FULL:
            self.share = max(self.share * EASE, LEAST)
        else:
            self.share = min(self.share + RAISE, 1.0)

    def spent_ms(self) -> float:
        """Time that a request may have used before it was read: a turn of the loop.  The rest is its own, to
        the end: its time counts from its last byte, and clients who wait little need each millisecond."""
        return self.late_ms

    def admits(self, open_now: int) -> bool:
        if open_now >= MOST_OPEN:
            return False
        return self.share >= 1.0 or self.draw() < self.share
