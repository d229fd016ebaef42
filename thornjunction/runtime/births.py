"""When listed shelfs started, on the core's clock."""

from __future__ import annotations

from collections.abc import Iterable

from thornjunction import interface as api
from thornjunction.net.unix_clock import UnixClock
from thornjunction.net.wire.commands import Host


class Births:
    """The same process has the same start, whenever it is listed: converted anew it would differ where the
    offset of ``unix`` was taken anew, and the decisions would take it for a new, cold one."""

    def __init__(self, unix: UnixClock) -> None:
        self._unix = unix
        self._known: dict[str, tuple[float, float]] = {}  # by shelf: as listed, and on the core's clock

    def started_ms(self, host: Host, recent_ms: float) -> float:
        """0: long ago.  ``recent_ms``: no start that is told now lies further back."""
        if host.started_unix_ms <= 0:
            return 0.0
        known = self._known.get(host.name)
        if known is None or known[0] != host.started_unix_ms:
            known = self._known[host.name] = (
                host.started_unix_ms,
                self._unix.to_core(host.started_unix_ms, recent_ms),
            )
        return known[1]

    def keep(self, hosts: Iterable[Host], whole: bool) -> None:
        """Forget those that have gone."""
        if whole:
            listed = {host.name for host in hosts}
            self._known = {name: known for name, known in self._known.items() if name in listed}
        for host in hosts:
            if host.state is api.State.GONE:
                self._known.pop(host.name, None)
