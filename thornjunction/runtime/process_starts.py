"""When the processes of listed servers started, on the core's clock."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from thornjunction import interface as api
from thornjunction.net.event_loop.unix_clock import UnixClock
from thornjunction.net.wire.commands import Host


@dataclass(frozen=True, slots=True)
class ProcessStart:
    """One start of a process.

    Attributes:
        listed_unix_ms: its time in the endpoint list.
        core_ms: its time on the core's clock.
    """

    listed_unix_ms: float
    core_ms: float


class ProcessStarts:
    """Converts each listed start once.

    The same process has the same start whenever it is listed.  Converted anew, it would differ where the
    clock's offset was measured anew, and the decisions would take the process for a new, cold one.
    """

    def __init__(self, unix: UnixClock) -> None:
        self._unix = unix
        self._by_server: dict[str, ProcessStart] = {}

    def __len__(self) -> int:
        return len(self._by_server)

    def started_ms(self, host: Host, recent_ms: float) -> float:
        """Return a server's start on the core's clock; 0: long ago.

        A start that is listed for the first time lies at most ``recent_ms`` back.
        """
        if host.started_unix_ms <= 0:
            return 0.0
        start = self._by_server.get(host.name)
        if start is None or start.listed_unix_ms != host.started_unix_ms:
            start = ProcessStart(host.started_unix_ms, self._unix.to_core(host.started_unix_ms, recent_ms))
            self._by_server[host.name] = start
        return start.core_ms

    def forget_unlisted(self, hosts: Iterable[Host], is_complete: bool) -> None:
        """Drop removed servers and, with a complete list, those that it does not name."""
        if is_complete:
            listed = {host.name for host in hosts}
            self._by_server = {name: start for name, start in self._by_server.items() if name in listed}
        for host in hosts:
            if host.state is api.ServerState.REMOVED:
                self._by_server.pop(host.name, None)
