"""Sends clients away: connections close where nothing is open on them; later all new work is refused."""

from __future__ import annotations

from collections.abc import Callable

from thornjunction.memory.deadlines import Deadline, Deadlines
from thornjunction.net.client_link import ClientTable

SWEEP_MS = 10.0  # between looks for idle connections
REFUSE_MS = 1_900.0  # a connection with always something open would never end; 4 s after an operators' call
# none may hold a request of the last 2 s.  Sooner costs clients: they try again on the same connection.
HURRY_MS = 100.0  # after that: what is still open by then is stuck, and its connection refuses all the others


class Drain:
    """Off until it is started; may be stopped again."""

    def __init__(
        self,
        clients: ClientTable,
        deadlines: Deadlines,
        clock: Callable[[], float],
        hurry: Callable[[], None],
    ) -> None:
        self.clients, self.deadlines, self.clock, self.hurry = clients, deadlines, clock, hurry
        self.active = self.refusing = False
        self._timer: Deadline | None = None
        self._refuse_at = self._hurry_at = 0.0

    def start(
        self, wait_ms: float, refuse_ms: float = REFUSE_MS, hurry_ms: float = REFUSE_MS + HURRY_MS
    ) -> None:
        """Connections are left alone for so long: new ones come until all know that we are leaving.  Then
        idle ones end; later new work is refused; last what is open is hurried."""
        if self.active:
            self.stop()
        now = self.clock()
        self.active, self._refuse_at, self._hurry_at = True, now + refuse_ms, now + hurry_ms
        self._timer = self.deadlines.add(now + wait_ms, self._sweep)

    def stop(self) -> None:
        self.deadlines.cancel(self._timer)
        self.active = self.refusing = False

    def _sweep(self) -> None:
        now = self.clock()
        self.refusing = now >= self._refuse_at
        if now >= self._hurry_at:
            self.hurry()
        for link in self.clients:
            link.leave()
        self._timer = self.deadlines.add(now + SWEEP_MS, self._sweep)
