"""What the router knows of a server, of a request that is owed an answer, and of its attempts."""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass

from thornjunction import interface as api
from thornjunction.estimates import FAST_GAIN, Mean, Usual, mix
from thornjunction.limits.admission_gates import Gate
from thornjunction.limits.fault_attribution import own
from thornjunction.limits.idempotency import Ran
from thornjunction.limits.outlier_detection import Health

PULSE = 0.5  # of the aim: slower answers of what runs at the origin tell of its queue
MARGIN = 6.0  # ms before the client's limit at which we answer: a few of a caller's ticks
SILENT, SILENT_OUT = 500.0, 2  # ms past the sending time without any answer, with so many attempts out


class Server(Health):
    """What this front knows of one cache, parent or origin."""

    def __init__(self, entry: api.ServerEntry, now: float) -> None:
        super().__init__(entry, now)
        self.id, self.salt = entry.server, mix(zlib.crc32(entry.server.encode()))
        self.first_byte, self.gate = Mean(FAST_GAIN), Gate()

    def silent(self, now: float) -> bool:
        """Attempts out and no answer at all: hung or cut off."""
        waits: list[float] = [now - max(a.sent, self.heard) - 1.5 * a.job.work for a in self.out.values()]
        return sum(wait > SILENT for wait in waits) >= SILENT_OUT


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


class Gates:
    """What new work is let through by, beside each cache's own gate."""

    def __init__(self) -> None:
        self.fills, self.behind = Gate(), Gate()  # behind: what the origin is asked

    def judge(
        self, attempt: Attempt, took: float, note: api.Note, done: bool, now: float, blind: bool
    ) -> None:
        """In time or late, once for each attempt: late as soon as its aim has passed."""
        job = attempt.job
        late = took > job.aim * (PULSE if job.kind.passes else 1.0)
        if attempt.late or not (done or late):
            return
        attempt.late = True
        hit = own(not job.miss, late, attempt.server.busy) if note is api.Note.NONE else note is api.Note.HIT
        gate = attempt.server.gate if hit or attempt.source is None else self.fills
        # Where answers do not tell, the origin is among the suspects of each fill, unless only what its
        # parent holds was asked for; it is the one to blame for a refusal.
        if job.kind.passes or (blind and gate is self.fills and not attempt.held_only):
            self.behind.answer(late, now)
            if job.kind.passes or took == math.inf:
                return
        gate.answer(late, now)


class Job:  # a request that is owed an answer
    def __init__(self, event: api.Request, kind: api.RequestClass, work: float, mean: float, now: float):
        self.id, self.event, self.kind = event.request, event, kind
        self.work, self.mean, self.fill = work, mean, work  # ms to send: own; at a cold cache, a cold parent
        self.aim = kind.aim_ms + kind.aim_stretch * work
        self.effect = event.idempotency_key if kind.safety is api.Safety.KEYED else ""
        self.copy = mix(mix(event.key) ^ event.part)  # each part is kept as a copy of its own
        self.deadline, self.attempts, self.miss = now + event.left_ms - MARGIN, 0, False
        self.out: list[Attempt] = []  # a second one is the copy of a first that takes too long
        self.maybe: Ran | None = None  # the first attempt that may have run
        self.usual, self.most, self.weights = Usual(), 1, [1.0, 1.0]  # of its class; attempts; sizes
        self.wake, self.useful = -math.inf, self.deadline if kind.late_worth else now + kind.aim_ms
        self.tried: set[str] = set()  # caches and sources that did not serve it
        self.looks, self.held = 0, False  # at other caches, for what they hold; this is all it may have
        self.faults: list[Server] = []  # who answered it with an error
