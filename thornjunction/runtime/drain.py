"""Draining: connections are closed once they have no open request; later, new requests are refused."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto

from thornjunction.memory.deadlines import Deadline, Deadlines
from thornjunction.net.downstream.connection_table import DownstreamTable

# Time between two sweeps that close idle connections.
SWEEP_INTERVAL_MS = 10.0

# Time from the start of a drain until new requests are refused.
# Without refusals, a connection that always has an open request would never close.  4 s after an operator's
# call, no connection may have carried a request within the last 2 s.  Refusing earlier would fail more
# requests, because clients retry on the same connection.
REFUSE_AFTER_MS = 1_900.0

# Time from the first refusal until all open requests are answered at once.
# A request that is still open by then is stuck, and its connection refuses all other requests meanwhile.
ANSWER_DELAY_MS = 100.0


class DrainPhase(Enum):
    """Phases of a drain; each phase continues the work of the previous one.

    Attributes:
        INACTIVE: there is no drain.
        CLOSING_IDLE: connections without an open request are closed.
        REFUSING: in addition, new requests are refused.
        ANSWERING: in addition, open requests are answered at once.
    """

    INACTIVE = auto()
    CLOSING_IDLE = auto()
    REFUSING = auto()
    ANSWERING = auto()


class Drain:
    """Drains client connections; it is inactive until started, and may be stopped and started again.

    Args:
        clients: the connections to drain.
        deadlines: the queue of deadlines.
        clock: the core's clock, in ms.
        answer_all_now: answers all open requests at once.
    """

    def __init__(
        self,
        clients: DownstreamTable,
        deadlines: Deadlines,
        clock: Callable[[], float],
        answer_all_now: Callable[[], None],
    ) -> None:
        self._clients = clients
        self._deadlines = deadlines
        self._clock = clock
        self._answer_all_now = answer_all_now
        self._phase = DrainPhase.INACTIVE
        self._sweep_deadline: Deadline | None = None
        self._refuse_at_ms = 0.0
        self._answer_at_ms = 0.0

    @property
    def is_active(self) -> bool:
        """Whether connections are being drained."""
        return self._phase is not DrainPhase.INACTIVE

    @property
    def is_refusing(self) -> bool:
        """Whether new requests are refused."""
        return self._phase in (DrainPhase.REFUSING, DrainPhase.ANSWERING)

    def start(
        self,
        wait_ms: float,
        refuse_after_ms: float = REFUSE_AFTER_MS,
        answer_after_ms: float = REFUSE_AFTER_MS + ANSWER_DELAY_MS,
    ) -> None:
        """Start a drain, or restart an active one.

        Args:
            wait_ms: time from now until idle connections are closed; meanwhile health checks tell clients
                that this process is leaving.
            refuse_after_ms: time from now until new requests are refused.
            answer_after_ms: time from now until open requests are answered at once.
        """
        if self.is_active:
            self.stop()
        now_ms = self._clock()
        self._phase = DrainPhase.CLOSING_IDLE
        self._refuse_at_ms = now_ms + refuse_after_ms
        self._answer_at_ms = now_ms + answer_after_ms
        self._sweep_deadline = self._deadlines.add(now_ms + wait_ms, self._sweep)

    def stop(self) -> None:
        """End the drain; new requests are accepted again."""
        self._deadlines.cancel(self._sweep_deadline)
        self._phase = DrainPhase.INACTIVE

    def _sweep(self) -> None:
        now_ms = self._clock()
        self._phase = self._phase_at(now_ms)
        if self._phase is DrainPhase.ANSWERING:
            self._answer_all_now()
        for connection in self._clients:
            connection.close_if_idle()
        self._sweep_deadline = self._deadlines.add(now_ms + SWEEP_INTERVAL_MS, self._sweep)

    def _phase_at(self, now_ms: float) -> DrainPhase:
        if now_ms >= self._answer_at_ms:
            return DrainPhase.ANSWERING
        if now_ms >= self._refuse_at_ms:
            return DrainPhase.REFUSING
        return DrainPhase.CLOSING_IDLE
