"""Who is out of service after failures: outlier ejection, and for how long."""

from __future__ import annotations

import math
from typing import Any

from thornjunction import interface as api
from thornjunction.limits.slow_start import Bucket

EJECT_AFTER, EJECT_FIRST, EJECT_LAST = 5, 500.0, 4_000.0  # bad outcomes in a row; ms out
ONE_RESET = 10.0  # ms in which resets are one


class Health:
    """How one server answered of late."""

    def __init__(self, entry: api.ServerEntry, now: float) -> None:
        self.entry, self.heard, self.bad, self.down = entry, now, 0, False
        self.bucket, self.reset_at = Bucket(entry.started_ms), -math.inf
        self.ejected_for, self.ejected_until = 0.0, -math.inf
        self.out: dict[tuple[str, int], Any] = {}  # attempts at it, by request and number
        self.busy: float | None = None  # share of its cores, as last reported

    def told(self, report: api.Report | None) -> None:
        """A load report came, or an answer without one."""
        if report is not None and report.busy is not None:
            self.busy = report.busy

    def open_to(self, now: float) -> bool:
        """In service, or out and due for one trial."""
        return not self.ejected_for or (now >= self.ejected_until and not self.out)

    def eject(self, now: float) -> None:
        self.ejected_for = min(max(EJECT_FIRST, 2 * self.ejected_for), EJECT_LAST)
        self.ejected_until = now + self.ejected_for

    def record(self, ok: bool, now: float, refused: bool = False) -> None:
        """Outlier ejection after failures in a row: who loses some answers holds its copies and stays.
        One refused connection is enough: hundreds of fronts that try on push over what comes back."""
        self.bad = 0 if ok else EJECT_AFTER if refused else self.bad + 1
        if self.ejected_for and ok:
            if self.down:  # its process was away: perhaps a new, cold one that is not listed yet
                self.bucket.restart(now)
            self.ejected_for = 0.0
        elif not ok and now >= self.ejected_until and (self.ejected_for or self.bad >= EJECT_AFTER):
            self.eject(now)

    def reset(self, now: float) -> None:
        """A connection that breaks takes all that is out on it along: one failure, however many were."""
        if now - self.reset_at > ONE_RESET:
            self.record(False, now)
        self.reset_at = now
