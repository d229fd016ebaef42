"""Draining: connections close where nothing is open on them; later all new work is refused."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto

from thornjunction.memory.deadlines import Deadline, Deadlines
from thornjunction.net.downstream.connection_table import DownstreamTable

SWEEP_INTERVAL_MS = 10.0
"""Between looks for idle connections."""

REFUSE_AFTER_MS = 1_900.0
"""Until new work is refused, for a connection with always something open would never end.

4 s after an operators' call none may hold a request of the last 2 s.  Sooner costs clients: they retry on the
same connection.
"""

HURRY_DELAY_MS = 100.0
"""From the first refusals to the end of what is still open.

What is open by then is stuck, and its connection refuses all the others.
"""


class DrainPhase(Enum):
    """How far a drain has come."""

    INACTIVE = auto()
    CLOSING_IDLE = auto()
    """Connections without an open request are closed."""
    REFUSING = auto()
    """Also, new work is refused."""
    HURRYING = auto()
    """Also, what is open is answered at once."""


class Drain:
    """Inactive until it is started; may be stopped and started again."""

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
        self._hurry_at_ms = 0.0

    @property
    def is_active(self) -> bool:
        """Whether clients are sent away."""
        return self._phase is not DrainPhase.INACTIVE

    @property
    def is_refusing(self) -> bool:
        """Whether new work is refused."""
        return self._phase in (DrainPhase.REFUSING, DrainPhase.HURRYING)

    def start(
        self,
        wait_ms: float,
        refuse_after_ms: float = REFUSE_AFTER_MS,
        hurry_after_ms: float = REFUSE_AFTER_MS + HURRY_DELAY_MS,
    ) -> None:
        """Drain; all times count from now.  An active drain starts anew.

        Connections are left alone for ``wait_ms``: new ones come until all know that this process leaves.
        Then idle ones are closed, later new work is refused, and last what is open is hurried.
        """
        if self.is_active:
            self.stop()
        now_ms = self._clock()
        self._phase = DrainPhase.CLOSING_IDLE
        self._refuse_at_ms = now_ms + refuse_after_ms
        self._hurry_at_ms = now_ms + hurry_after_ms
        self._sweep_deadline = self._deadlines.add(now_ms + wait_ms, self._sweep)

    def stop(self) -> None:
        """Leave clients alone again."""
        self._deadlines.cancel(self._sweep_deadline)
        self._phase = DrainPhase.INACTIVE

    def _sweep(self) -> None:
        now_ms = self._clock()
        self._phase = self._phase_at(now_ms)
        if self._phase is DrainPhase.HURRYING:
            self._answer_all_now()
        for connection in self._clients:
            connection.close_if_idle()
        self._sweep_deadline = self._deadlines.add(now_ms + SWEEP_INTERVAL_MS, self._sweep)

    def _phase_at(self, now_ms: float) -> DrainPhase:
        if now_ms >= self._hurry_at_ms:
            return DrainPhase.HURRYING
        if now_ms >= self._refuse_at_ms:
            return DrainPhase.REFUSING
        return DrainPhase.CLOSING_IDLE
