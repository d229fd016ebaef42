"""Puts the program together, starts it, and ends it."""

from __future__ import annotations

import logging
import signal
from collections.abc import Callable
from typing import Any

from thornjunction import interface as api
from thornjunction.core.engine import Engine
from thornjunction.core.ports import Observer
from thornjunction.memory.slots import SlotTable
from thornjunction.net.alarm import Alarm, core_ms, unix_to_core
from thornjunction.net.channel import Channel
from thornjunction.net.front_fastcgi import ClientLink, FastCgiLink
from thornjunction.net.shelves import ShelfPool
from thornjunction.net.transport import Building, server_endpoint
from thornjunction.net.wire.commands import Command, Host, ListChange
from thornjunction.rules import Router
from thornjunction.runtime.config import Config

ACCEPT_MS = 800.0  # after SIGTERM: new connections come for 400 ms, requests on open ones for 200 ms more
LOOK_MS, FLUSH_MS = 20.0, 500.0  # between looks whether all is answered; for the last bytes to go out

log = logging.getLogger(__name__)


class Service:
    """One request router from its start to its exit."""

    def __init__(self, config: Config, reactor: Any, observer: Observer) -> None:
        self.config, self.reactor = config, reactor
        self.alarm = Alarm(reactor)
        deadlines = self.alarm.deadlines
        self.pool = ShelfPool(reactor, config.shelves, deadlines, core_ms)
        router = Router(config.settings, config.seed)
        attempts = config.settings.max_attempts
        self.engine = Engine(router, attempts, core_ms, deadlines, self.pool, observer)
        self.pool.ends = self.engine
        self.channel = Channel(reactor, config.channel, deadlines, core_ms, self.take)
        self.clients: SlotTable[ClientLink] = SlotTable(max(config.sockets // 3, 1))
        self.ready = self.draining = False
        self._ports: list[Any] = []

    def start(self) -> None:
        """Replay what is known before anything listens; then serve."""
        log.info("start name=%s sockets=%d %s", self.config.name, self.config.sockets, self.config.shelves)
        self.channel.apply(self.config.known)
        self.ready = True
        self.channel.start()
        host, port = self.config.listen
        self.listen(host, port, self._platform_link)

    def listen(self, host: str, port: int, build: Callable[[], ClientLink]) -> None:
        """Open a front; a port that can't be had ends the program with a message."""
        endpoint = server_endpoint(self.reactor, (host, port))
        endpoint.listen(Building(build)).addCallbacks(self._ports.append, self._no_port)

    def _no_port(self, failure: Any) -> None:
        log.error("can't listen: %s", failure.getErrorMessage())
        self.reactor.stop()

    def _platform_link(self) -> FastCgiLink:
        return FastCgiLink(self.clients, self.alarm.deadlines, core_ms, self.engine, self.is_ready)

    def is_ready(self) -> bool:
        return self.ready and not self.draining

    def take(self, command: Command) -> None:
        """An event of the command channel, on the core's clock."""
        if isinstance(command, ListChange):
            self.pool.update(command.hosts, command.whole)
            entries = tuple(self._entry(host) for host in command.hosts)
            self.engine.feed(api.Servers(entries, command.whole))
        else:
            age = max(core_ms() - unix_to_core(command.when_ms), 0.0)
            self.engine.feed(api.Purged(command.group, age, command.key))

    def _entry(self, host: Host) -> api.ServerEntry:
        return api.ServerEntry(
            server=host.name,
            role=self.config.roles.get(host.kind, api.Role.EDGE),
            zone=host.site,
            state=host.state,
            weight=host.weight,
            cell=host.cell,
            started_ms=unix_to_core(host.born_ms) if host.born_ms > 0 else 0.0,
        )

    def drain(self) -> None:
        """SIGTERM: accept through the stated window, answer all that was taken, then exit 0."""
        if self.draining:
            return
        self.draining = True
        log.info("draining")
        now, deadlines = core_ms(), self.alarm.deadlines
        self._last = now + ACCEPT_MS + self.config.longest_ms
        deadlines.add(now + ACCEPT_MS, self._close_ports)

    def _close_ports(self) -> None:
        for port in self._ports:
            port.stopListening()
        self._look()

    def _look(self) -> None:
        if len(self.engine.requests) and core_ms() < self._last:
            self.alarm.deadlines.add(core_ms() + LOOK_MS, self._look)
            return
        self.channel.stopped = True
        for link in self.clients:
            link.finish("drained")
        self._last = core_ms() + FLUSH_MS
        self._flush()

    def _flush(self) -> None:
        if len(self.clients) and core_ms() < self._last:
            self.alarm.deadlines.add(core_ms() + LOOK_MS, self._flush)
            return
        log.info("drained")
        self.reactor.stop()

    def run(self) -> None:
        """Until the drain ends."""
        signal.signal(signal.SIGTERM, lambda *_: self.reactor.callFromThread(self.drain))
        signal.signal(signal.SIGINT, lambda *_: self.reactor.callFromThread(self.drain))
        self.reactor.callWhenRunning(self.start)
        self.reactor.run(installSignalHandlers=False)
