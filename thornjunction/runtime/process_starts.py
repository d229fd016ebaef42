"""Start times of the processes of listed servers, on the core's clock."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from thornjunction import interface as api
from thornjunction.net.event_loop.unix_clock import UnixClock
from thornjunction.net.wire.commands import Host


@dataclass(frozen=True, slots=True)
class ProcessStart:
    """The start time of a process.

    Attributes:
        listed_unix_ms: the time in the endpoint list, in Unix ms.
        core_ms: the same time on the core's clock.
    """

    listed_unix_ms: float
    core_ms: float


class ProcessStarts:
    """Converts each listed start time to the core's clock once and keeps the result.

    A process is listed with the same start time every time.  If that time were converted again after a new
    measurement of the offset between the clocks, the result would differ, and the server would be taken for a
    restarted one with a cold cache.
    """

    def __init__(self, unix_clock: UnixClock) -> None:
        self._unix_clock = unix_clock
        self._by_server: dict[str, ProcessStart] = {}

    def __len__(self) -> int:
        return len(self._by_server)

    def started_ms(self, host: Host, recent_ms: float) -> float:
        """Return a server's start time on the core's clock; 0 if it started long ago.

        ``recent_ms`` is the age up to which a start affects decisions; it guides a first conversion.
        """
        if host.started_unix_ms <= 0:
            return 0.0
        start = self._by_server.get(host.name)
        if start is None or start.listed_unix_ms != host.started_unix_ms:
            start = ProcessStart(
                host.started_unix_ms, self._unix_clock.to_core(host.started_unix_ms, recent_ms)
            )
            self._by_server[host.name] = start
        return start.core_ms

    def forget_unlisted(self, hosts: Iterable[Host], is_complete: bool) -> None:
        """Forget removed servers and, if the list is complete, servers that it does not contain."""
        if is_complete:
            listed = {host.name for host in hosts}
            self._by_server = {name: start for name, start in self._by_server.items() if name in listed}
        for host in hosts:
            if host.state is api.ServerState.REMOVED:
                self._by_server.pop(host.name, None)
