"""The state of one upstream server: an edge cache, a parent or the origin."""

from __future__ import annotations

from typing import Protocol

from thornjunction import interface as api
from thornjunction.estimates import FAST_GAIN, SmoothedMean
from thornjunction.limits.admission_gates import AdmissionGate
from thornjunction.limits.outlier_detection import OutlierDetector
from thornjunction.limits.slow_start import SlowStartWindow

# Time without any answer, beyond the expected transfer time, after which an attempt counts as silent.
SILENCE_MS = 500.0
# Expected transfer time of an attempt, as a multiple of its transfer time without other load.
TRANSFER_SLACK = 1.5
# Minimum of silent attempts at a server that counts as hung or unreachable; a single one may only be slow.
MIN_SILENT_ATTEMPTS = 2

# The request's id and the number of the attempt.
AttemptKey = tuple[str, int]


class OutstandingAttempt(Protocol):
    """The properties of an attempt in flight that the state of its server uses."""

    @property
    def sent_at_ms(self) -> float:
        """The time at which the attempt was sent."""

    @property
    def transfer_ms(self) -> float:
        """The transfer time of the answer without other load."""

    @property
    def request_class(self) -> api.RequestClass:
        """The class of the attempt's request."""


class Upstream:
    """The state of one process of a listed server.

    A server that restarts gets a new state; attempts at its former process keep the former one.
    """

    def __init__(self, entry: api.ServerEntry, now_ms: float) -> None:
        self.id = entry.server
        self.entry = entry
        self.outliers = OutlierDetector()
        self.slow_start_window = SlowStartWindow(entry.started_ms)
        self.gate = AdmissionGate()
        # Time to the first byte of the fills that it was the source of.
        self.first_byte_ms = SmoothedMean(FAST_GAIN)
        self.in_flight: dict[AttemptKey, OutstandingAttempt] = {}
        # Whether its last attempt was refused a connection, or timed out after one that was.
        self.is_unreachable = False
        self.last_contact_at_ms = now_ms
        # Share of its cores in use, as last reported; None before the first report.
        self.load: float | None = None

    def is_available(self, now_ms: float) -> bool:
        """Return whether the server may get an attempt: it is in service, or due for its one trial."""
        if not self.outliers.ejected_for_ms:
            return True
        return self.outliers.is_trial_due(now_ms) and not self.in_flight

    def is_silent(self, now_ms: float) -> bool:
        """Return whether the server answers none of its attempts in flight: it hangs or is unreachable."""
        silent_count = 0
        for attempt in self.in_flight.values():
            waited_ms = now_ms - max(attempt.sent_at_ms, self.last_contact_at_ms)
            if waited_ms - TRANSFER_SLACK * attempt.transfer_ms > SILENCE_MS:
                silent_count += 1
        return silent_count >= MIN_SILENT_ATTEMPTS

    def record_report(self, report: api.LoadReport | None) -> None:
        """Learn the load from the report of an answer, if it came with one."""
        if report is not None and report.cpu_utilization is not None:
            self.load = report.cpu_utilization

    def record_success(self, now_ms: float) -> None:
        """Record an answer that shows that the server works; an ejected server is back in service.

        A server that was unreachable may be a new process that is cold, but not listed as restarted yet.
        """
        recovered = self.outliers.record_success()
        if recovered and self.is_unreachable:
            self.slow_start_window.restart(now_ms)
