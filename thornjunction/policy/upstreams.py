"""What the router knows of one upstream server: an edge cache, a parent or the origin."""

from __future__ import annotations

from typing import Protocol

from thornjunction import interface as api
from thornjunction.estimates import FAST_GAIN, SmoothedMean
from thornjunction.limits.admission_gates import AdmissionGate
from thornjunction.limits.outlier_detection import OutlierDetector
from thornjunction.limits.slow_start import SlowStartWindow

# ms past the expected transfer time without any answer, after which an attempt counts as silent.
SILENCE_MS = 500.0
# The expected transfer time of an attempt, as a multiple of what its size takes alone.
TRANSFER_SLACK = 1.5
# So many silent attempts tell of a hung or unreachable server; one alone may just be slow.
SILENT_ATTEMPTS = 2

# The request's name and the number of the attempt.
AttemptKey = tuple[str, int]


class OutstandingAttempt(Protocol):
    """What a server's state needs of an attempt that is in flight at it."""

    @property
    def sent_at_ms(self) -> float:
        """When it was sent."""

    @property
    def transfer_ms(self) -> float:
        """How long its answer takes to transfer alone."""

    @property
    def request_class(self) -> api.RequestClass:
        """The class of its request."""


class Upstream:
    """The state of one process of a listed server.

    A server that restarts gets a new one; attempts at the process before keep theirs.
    """

    def __init__(self, entry: api.ServerEntry, now_ms: float) -> None:
        self.id = entry.server
        self.entry = entry
        self.outliers = OutlierDetector()
        self.slow_start_window = SlowStartWindow(entry.started_ms)
        self.gate = AdmissionGate()
        # As the source of fills, in ms.
        self.first_byte_ms = SmoothedMean(FAST_GAIN)
        self.in_flight: dict[AttemptKey, OutstandingAttempt] = {}
        # Whether its last attempt found its connection refused, or timed out after one that did.
        self.is_unreachable = False
        self.last_heard_at_ms = now_ms
        # Share of its cores in use, as last reported; None before the first report.
        self.load: float | None = None

    def is_available(self, now_ms: float) -> bool:
        """Tell whether it may get an attempt: in service, or ejected and due for one trial."""
        if not self.outliers.ejected_for_ms:
            return True
        return self.outliers.is_trial_due(now_ms) and not self.in_flight

    def is_silent(self, now_ms: float) -> bool:
        """Tell whether it answers nothing at all though attempts are in flight: hung or unreachable."""
        silent = 0
        for attempt in self.in_flight.values():
            waited_ms = now_ms - max(attempt.sent_at_ms, self.last_heard_at_ms)
            if waited_ms - TRANSFER_SLACK * attempt.transfer_ms > SILENCE_MS:
                silent += 1
        return silent >= SILENT_ATTEMPTS

    def record_report(self, report: api.LoadReport | None) -> None:
        """Take in the load report of an answer, if it came with one."""
        if report is not None and report.cpu_utilization is not None:
            self.load = report.cpu_utilization

    def record_success(self, now_ms: float) -> None:
        """Record an answer that shows it in order; an ejected server is back in service.

        One that was unreachable may be a new process, cold and not yet listed as such.
        """
        recovered = self.outliers.record_success()
        if recovered and self.is_unreachable:
            self.slow_start_window.restart(now_ms)
