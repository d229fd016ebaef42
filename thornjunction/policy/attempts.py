"""What the router knows of a server, of a request that is owed an answer, and of its attempts."""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass

from thornjunction import interface as api
from thornjunction.estimates import FAST_GAIN, Mean, Usual, mix
from thornjunction.limits.cold import Bucket
from thornjunction.limits.effects import Ran
from thornjunction.limits.gates import Gate

MARGIN = 6.0  # ms before the client's limit at which we answer: a few of a caller's ticks
EJECT_AFTER, EJECT_FIRST, EJECT_LAST = 5, 500.0, 4_000.0  # bad outcomes in a row; ms out
SILENT, SILENT_OUT = 500.0, 2  # ms past the sending time without any answer, with so many attempts out
ONE_RESET = 10.0  # ms in which resets are one


class Server:
    """What this front knows of one cache, parent or origin."""

    def __init__(self, entry: api.ServerEntry, now: float) -> None:
        self.id, self.salt = entry.server, mix(zlib.crc32(entry.server.encode()))
        self.out: dict[tuple[str, int], Attempt] = {}
        self.entry, self.heard, self.ejected_for, self.down = entry, now, 0.0, False
        self.bad, self.first_byte, self.gate = 0, Mean(FAST_GAIN), Gate()
        self.bucket, self.ejected_until = Bucket(entry.started_ms), -math.inf
        self.reset_at = -math.inf

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

    def silent(self, now: float) -> bool:
        """Attempts out and no answer at all: hung or cut off."""
        waits = [now - max(a.sent, self.heard) - 1.5 * a.job.work for a in self.out.values()]
        return sum(wait > SILENT for wait in waits) >= SILENT_OUT

    def open_to(self, now: float) -> bool:
        """In service, or out and due for one trial."""
        return not self.ejected_for or (now >= self.ejected_until and not self.out)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt that is out."""

    server: Server
    source: Server | None
    sent: float
    job: Job
    number: int
    ran: Ran
    late: bool = False  # counted as such
    overdue: bool = False
    held_only: bool = False  # its source gives only what it holds


class Job:  # a request that is owed an answer
    def __init__(self, event: api.Request, kind: api.RequestClass, work: float, mean: float, now: float):
        self.id, self.event, self.kind = event.request, event, kind
        self.work, self.mean, self.weights = work, mean, [1.0, 1.0]  # ms to send: own, class mean; over all's
        self.aim = kind.aim_ms + kind.aim_stretch * work
        self.effect = event.idempotency_key if kind.safety is api.Safety.KEYED else ""
        self.copy = mix(mix(event.key) ^ event.part)  # each part is kept as a copy of its own
        self.deadline, self.attempts, self.miss = now + event.left_ms - MARGIN, 0, False
        self.out: list[Attempt] = []  # a second one is the copy of a first that takes too long
        self.maybe: Ran | None = None  # the first attempt that may have run
        self.usual, self.most = Usual(), 1  # of its class; attempts
        self.wake, self.useful = -math.inf, self.deadline if kind.late_worth else now + kind.aim_ms
        self.tried: set[str] = set()  # caches and sources that did not serve it
        self.faults: list[Server] = []  # who answered it with an error
