"""What operators may call on a router's admin endpoint."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from thornjunction.log_events import LogEvent
from thornjunction.logs import get_logger
from thornjunction.net.wire.admin import encode_counters, encode_reply
from thornjunction.runtime.drain import Drain

DRAIN_WAIT_MS = 600.0
"""After the call: new connections come for 0.2 s past the first ``NAK``."""

log = get_logger(__name__)


class AdminCalls:
    """Answers each call; ``by_name`` has them all."""

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
        """Whether this router takes clients."""
        return encode_reply(self._is_ready())

    def metrics(self) -> bytes:
        """All metrics, one a line."""
        return encode_counters(self._collect_metrics())

    def start_drain(self) -> bytes:
        """Send clients away until ``drain-off``."""
        if not self._drain.is_active:
            log.info(LogEvent.DRAIN_STARTED)
            self._drain.start(DRAIN_WAIT_MS)
        return encode_reply(True)

    def stop_drain(self) -> bytes:
        """Take clients again; refused once the process shuts down."""
        if self._is_shutting_down():
            return encode_reply(False, "ending")
        log.info(LogEvent.DRAIN_STOPPED)
        self._drain.stop()
        return encode_reply(True)
