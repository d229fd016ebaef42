"""Translates events of the command channel for the routing decisions and the connection pool."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

from thornjunction import interface as api
from thornjunction.core.engine import Engine
from thornjunction.net.event_loop.unix_clock import UnixClock
from thornjunction.net.upstream.connection_pool import ConnectionPool
from thornjunction.net.wire.commands import Command, Host, ListChange, Purge
from thornjunction.runtime.process_starts import ProcessStarts


class CommandHandler:
    """Feeds endpoint lists and purges to the engine and the pool, with times converted to the core's clock.

    Args:
        engine: receives endpoint lists and purges.
        pool: receives the addresses of listed servers.
        roles: roles of servers, by the kinds that the endpoint list uses.
        settings: returns the settings in force.
        clock: the core's clock, in ms.

    Attributes:
        process_starts: the start times of the listed servers.
    """

    def __init__(
        self,
        engine: Engine,
        pool: ConnectionPool,
        roles: Mapping[str, api.Role],
        settings: Callable[[], api.Settings],
        clock: Callable[[], float],
    ) -> None:
        self._engine = engine
        self._pool = pool
        self._roles = roles
        self._settings = settings
        self._clock = clock
        self._unix_clock = UnixClock()
        self.process_starts = ProcessStarts(self._unix_clock)

    def handle(self, command: Command) -> None:
        """Feed one event to the engine; an endpoint list also updates the pool."""
        if isinstance(command, ListChange):
            self._feed_list_change(command)
        else:
            self._feed_purge(command)

    def _feed_list_change(self, change: ListChange) -> None:
        recent_ms = math.inf if change.is_complete else self._longest_slow_start_ms()
        entries = tuple(self._build_entry(host, recent_ms) for host in change.hosts)
        self.process_starts.forget_unlisted(change.hosts, change.is_complete)
        self._engine.feed(api.EndpointListUpdate(entries, change.is_complete))
        self._pool.update(change.hosts, change.is_complete)  # attempts waiting there are decided again

    def _feed_purge(self, purge: Purge) -> None:
        retention_ms = self._settings().purge_propagation_ms
        age_ms = max(self._clock() - self._unix_clock.to_core(purge.issued_unix_ms, retention_ms), 0.0)
        # After this time all caches have dropped the purged objects, and no decision depends on the purge.
        if age_ms <= retention_ms:
            self._engine.feed(api.PurgeReceived(purge.group, age_ms, purge.key))

    def _longest_slow_start_ms(self) -> float:
        """Return for how long a server's start affects decisions: the longest slow start of any role."""
        settings = self._settings()
        return max(settings.slow_start_ms, settings.parent_slow_start_ms)

    def _build_entry(self, host: Host, recent_ms: float) -> api.ServerEntry:
        return api.ServerEntry(
            server=host.name,
            role=self._roles.get(host.kind, api.Role.EDGE),
            zone=host.site,
            state=host.state,
            weight=host.weight,
            cell=host.cell,
            started_ms=self.process_starts.started_ms(host, recent_ms),
        )
