"""The calls that operators make to a router's admin endpoint."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from thornjunction.log_events import LogEvent
from thornjunction.logs import get_logger
from thornjunction.net.wire.admin import encode_counters, encode_reply
from thornjunction.runtime.drain import Drain

# Time from the call until idle connections are closed: clients connect for 0.2 s after the first ``NAK``.
DRAIN_WAIT_MS = 600.0

log = get_logger(__name__)


class AdminCalls:
    """Answers the operators' calls.

    Attributes:
        by_name: the calls by the names that operators use.
    """

    def __init__(
        self,
        drain: Drain,
        is_ready: Callable[[], bool],
        is_shutting_down: Callable[[], bool],
        collect_metrics: Callable[[], Mapping[str, int]],
    ) -> None:
        self._drain = drain
        self._is_ready = is_ready
        self._is_shutting_down = is_shutting_down
        self._collect_metrics = collect_metrics
        self.by_name: dict[str, Callable[[], bytes]] = {
            "check": self.check,
            "vars": self.metrics,
            "drain-on": self.start_drain,
            "drain-off": self.stop_drain,
        }

    def check(self) -> bytes:
        """Reply whether this router accepts new clients."""
        return encode_reply(self._is_ready())

    def metrics(self) -> bytes:
        """Reply with all metrics, one per line."""
        return encode_counters(self._collect_metrics())

    def start_drain(self) -> bytes:
        """Start a drain, which lasts until ``drain-off``; no effect if a drain is active."""
        if not self._drain.is_active:
            log.info(LogEvent.DRAIN_STARTED)
            self._drain.start(DRAIN_WAIT_MS)
        return encode_reply(True)

    def stop_drain(self) -> bytes:
        """End the drain; refused once the process is shutting down."""
        if self._is_shutting_down():
            return encode_reply(False, "ending")
        log.info(LogEvent.DRAIN_STOPPED)
        self._drain.stop()
        return encode_reply(True)
