"""Puts the program together, starts it, and ends it."""

from __future__ import annotations

import math
import os
import random
import signal
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from twisted.internet import protocol

from thornjunction import interface as api
from thornjunction.core.counters import Counters
from thornjunction.core.engine import Engine
from thornjunction.core.load_shedding import SAMPLE_INTERVAL_MS, LoadShedder
from thornjunction.core.ports import Answer, Rejected
from thornjunction.logs import get_logger
from thornjunction.memory.budget import ByteBudget
from thornjunction.net.alarm import Alarm, core_ms
from thornjunction.net.client_link import ClientTable
from thornjunction.net.front_fastcgi import FastCgiLink
from thornjunction.net.listener import adopt
from thornjunction.net.operators import OperatorsDoor, OperatorsLink
from thornjunction.net.shelves import ShelfPool
from thornjunction.net.transport import Building, server_endpoint
from thornjunction.net.unix_clock import UnixClock
from thornjunction.net.wire import cgi
from thornjunction.net.wire.admin import encode_counters, encode_reply
from thornjunction.net.wire.commands import Command, Host, ListChange
from thornjunction.policy.router import Router
from thornjunction.runtime import parts
from thornjunction.runtime.births import Births
from thornjunction.runtime.config import Config, ConfigError, check_complete
from thornjunction.runtime.drain import Drain
from thornjunction.runtime.figures import figures_of
from thornjunction.runtime.handover import Handover
from thornjunction.runtime.shutdown import Shutdown

if TYPE_CHECKING:  # what the operators' file turns on is imported where there is one
    from thornjunction.runtime.extras import Extras

LASTING = "name", "listen", "sockets", "roles", "shelves"  # what a reload doesn't change
CATCH_UP_MS = 500.0  # for the command channel's first answer; then what is known has to do
AWAY_MS = 600.0  # after the operators' call: new connections come for 0.2 s past the first no

log = get_logger(__name__)


class Service:
    """One request router from its start to its exit."""

    def __init__(
        self,
        config: Config,
        extras: Extras | None,
        reactor: Any,
        counters: Counters,
        load: Callable[[], Config],
    ) -> None:
        self.config, self.reactor, self.load = config, reactor, load
        self.alarm = Alarm(reactor)
        deadlines = self.alarm.deadlines
        budget = ByteBudget(config.buffer_bytes)
        self.pool = ShelfPool(reactor, config.shelves, deadlines, core_ms, budget)
        self.router = Router(config.settings, config.seed, config.name)
        attempts = config.settings.max_attempts
        self.engine = Engine(self.router, attempts, core_ms, deadlines, self.pool, counters)
        self.counters, self.files = counters, Counter[str]()
        self.pool.ends = self.engine
        self.unix = UnixClock()
        self.births = Births(self.unix)
        self.channel = parts.channel(extras, config, reactor, deadlines, self.take, self._serve)
        self.clients = ClientTable(max(config.sockets // 3, 1), budget)
        self.drain = Drain(self.clients, deadlines, core_ms, self.engine.answer_all_now)
        self.shutdown = Shutdown(self.clients, self.drain, self.engine, deadlines, core_ms, self._stop)
        self.handover = Handover(config.shared_folder, config.name)
        self.ready = self.ending = self.succeeded = self.faulty = False
        self.load_shedder = LoadShedder(random.Random(config.seed).random, config.cores)
        self.classes: dict[str, api.RequestClass] = {}
        self.second = parts.second_front(extras, self.engine, self.classes, self.clients, deadlines)
        self._settle(config.settings)
        self.metrics = parts.metrics(extras, reactor, deadlines, counters, config.name)
        self.fleet = parts.fleet(extras, config.name, deadlines)
        calls = {"check": self._check, "vars": self._figures}
        calls |= {"drain-on": self._drain_on, "drain-off": self._drain_off}
        if self.fleet is not None:
            calls["fleet"] = self.fleet.view
        self.operators = OperatorsDoor(calls, deadlines, core_ms)
        self._ports: list[Any] = []

    def start(self) -> None:
        """Replay what is known, and hear what is new, before clients are served."""
        log.info(
            "start", name=self.config.name, sockets=self.config.sockets, shelves=str(self.config.shelves)
        )
        self.channel.replay(self.config.known)
        if self.config.operators is not None:
            self.listen(*self.config.operators, self._operators_link)
        self.channel.start()
        # Guards a process that replaces another against the list of its start, which may be long out of date.
        self.alarm.deadlines.add(core_ms() + CATCH_UP_MS, self._serve)

    def _serve(self) -> None:
        if self.ready or self.ending:  # Guards against a port that opens after SIGTERM
            return
        self.ready = True
        self._watch(core_ms())
        if self.config.socket_fd is not None:
            self._adopt(self.config.socket_fd)
        else:
            self.listen(*self.config.listen, self._platform_link)
        self.handover.announce()
        if self.second is not None:
            self._ports += self.second.listen(self.reactor, self.listen)
        if self.metrics is not None:
            self.metrics.start()
        if self.fleet is not None:
            self.fleet.listen(self.reactor)

    def _watch(self, due: float, since: float = 0.0, used_s: float = 0.0) -> None:
        now, busy_s = core_ms(), time.process_time()
        wall_s = (now - since) / 1000.0
        late_ms = max(now - due, self.clients.turns.late_ms(now))
        self.load_shedder.record_sample(late_ms, (busy_s - used_s) / wall_s if since else 0.0)
        self.alarm.deadlines.add(
            now + SAMPLE_INTERVAL_MS, lambda: self._watch(now + SAMPLE_INTERVAL_MS, now, busy_s)
        )

    def busy(self) -> bytes:
        """What to answer where the core is to be spared; empty where it is not."""
        admitted = not self.drain.refusing and self.load_shedder.admits(len(self.engine.requests))
        return b"" if admitted else self._refusal

    def turned_away(self, class_name: str, answer: Answer) -> None:
        """Counts a request that a front answered itself."""
        self.counters.request_ended(class_name, answer.outcome, 0.0)

    def listen(self, host: str, port: int, build: Callable[[], protocol.Protocol]) -> None:
        """Open a front; a port that can't be had ends the program with a message."""
        endpoint = server_endpoint(self.reactor, (host, port))
        endpoint.listen(Building(build)).addCallbacks(
            self._ports.append, lambda failure: self._no_port(failure.value)
        )

    def _adopt(self, fd: int) -> None:
        """Accept on the platform's own listening socket, which other processes hold too."""
        try:
            os.set_blocking(fd, False)  # else the accept behind the last connection would stop the process
            self._ports.append(adopt(self.reactor, fd, Building(self._platform_link)))
            os.close(fd)  # the port has one of its own
        except OSError as error:
            self._no_port(error)

    def _no_port(self, error: object) -> None:
        log.error("cannot-listen", reason=str(error))
        self.faulty = True
        self.reactor.stop()

    def _platform_link(self) -> FastCgiLink:
        deadlines, spent = self.alarm.deadlines, self.load_shedder.read_delay_ms
        return FastCgiLink(
            self.clients,
            deadlines,
            core_ms,
            self.engine,
            self.is_ready,
            self.busy,
            self.turned_away,
            spent,
        )

    def _operators_link(self) -> OperatorsLink:
        return OperatorsLink(self.operators)

    def is_ready(self) -> bool:
        """A process that has a successor says yes to the end: the two are one request router."""
        return self.ready and (self.succeeded or not self.drain.active)

    def _check(self) -> bytes:
        return encode_reply(self.is_ready())

    def _figures(self) -> bytes:
        told = figures_of(self.counters, self.engine, self.pool, self.router, self.files)
        return encode_counters(told | self.channel.figures())

    def _drain_on(self) -> bytes:
        if not self.drain.active:
            log.info("drain-on")
            self.drain.start(AWAY_MS)
        return encode_reply(True)

    def _drain_off(self) -> bytes:
        if self.ending:
            return encode_reply(False, "ending")
        log.info("drain-off")
        self.drain.stop()
        return encode_reply(True)

    def take(self, command: Command) -> None:
        """An event of the command channel, on the core's clock."""
        if isinstance(command, ListChange):
            recent_ms = math.inf if command.is_complete else self._longest_cold_ms()
            entries = tuple(self._entry(host, recent_ms) for host in command.hosts)
            self.births.keep(command.hosts, command.is_complete)
            self.engine.feed(api.Servers(entries, command.is_complete))
            # What waited in the pool is decided again by this list.
            self.pool.update(command.hosts, command.is_complete)
        else:
            hold_ms = self.config.settings.purge_takes_ms
            age = max(core_ms() - self.unix.to_core(command.issued_unix_ms, hold_ms), 0.0)
            # Past its hold all caches have dropped what it names, and no decision hangs on it.
            if age <= hold_ms:
                self.engine.feed(api.Purged(command.group, age, command.key))

    def _longest_cold_ms(self) -> float:
        """Of a change, no start is further back that matters."""
        return max(self.config.settings.cold_ms, self.config.settings.parent_cold_ms)

    def _entry(self, host: Host, recent_ms: float) -> api.ServerEntry:
        return api.ServerEntry(
            server=host.name,
            role=self.config.roles.get(host.kind, api.Role.EDGE),
            zone=host.site,
            state=host.state,
            weight=host.weight,
            cell=host.cell,
            started_ms=self.births.started_ms(host, recent_ms),
        )

    def reload(self) -> None:
        """SIGHUP: go on at the file's ``channel`` and by its ``settings``.  All else in it needs a restart; a
        faulty file changes nothing.  The second front's key set and certificate are read again too."""
        if self.second is not None:
            self.second.look()
        try:
            fresh = self.load()
            check_complete(self.config, fresh)
        except ConfigError as error:
            self.files["invalid"] += 1
            log.error("reload refused, nothing changed", reason=str(error))
            return
        self.files["accepted"] += 1
        told = [name for name in LASTING if getattr(fresh, name) != getattr(self.config, name)]
        log.info(
            "reloaded",
            channel=f"{fresh.channel[0]}:{fresh.channel[1]}",
            need_restart=",".join(told) or "none",
        )
        self.channel.move(fresh.channel)
        settings, longest_ms = fresh.settings, fresh.longest_ms
        self.config = replace(self.config, settings=settings, longest_ms=longest_ms, keys=fresh.keys)
        self._settle(fresh.settings)
        self.engine.feed(fresh.settings)

    def _settle(self, settings: api.Settings) -> None:
        """What is drawn from the settings outside the decisions; what is open keeps what it came under."""
        self.engine.max_attempts = settings.max_attempts
        flow = self.config.flow_bytes_per_ms
        self.engine.kb_per_byte = settings.flow_kb_per_ms / flow if flow > 0 else 0.0
        self.classes.clear()
        self.classes |= {kind.name: kind for kind in settings.classes}
        self.counters.classes |= self.classes.keys()
        wait_ms = settings.max_wait_advice_ms if settings.may_advise_wait else 0.0
        self._refusal = cgi.encode_response(Rejected(wait_ms))

    def end(self) -> None:
        """SIGTERM: accept through the stated window, answer all that was taken, then exit 0."""
        if self.ending:
            return
        self.ending, self.succeeded = True, self.handover.succeeded()
        log.info("draining", succeeded=self.succeeded)
        if self.fleet is not None:
            self.fleet.leave()
        if not self.ready:  # nothing was taken
            return self._stop()
        self.shutdown.start(self.config.longest_ms, self._ports, accept=not self.succeeded)

    def _stop(self) -> None:
        self.channel.stopped = True
        log.info("drained")
        self.reactor.stop()

    def run(self) -> int:
        """Until the drain ends; the exit code."""
        signal.signal(signal.SIGTERM, lambda *_: self.reactor.callFromThread(self.end))
        signal.signal(signal.SIGINT, lambda *_: self.reactor.callFromThread(self.end))
        signal.signal(signal.SIGHUP, lambda *_: self.reactor.callFromThread(self.reload))
        self.reactor.callWhenRunning(self.start)
        self.reactor.run(installSignalHandlers=False)
        return int(self.faulty)
