"""One request router from its start to its exit, in the order in which it happens."""

from __future__ import annotations

import signal
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from thornjunction import interface as api
from thornjunction.core.counters import Counters
from thornjunction.logs import get_logger
from thornjunction.net.admin.admin_endpoint import AdminConnection, AdminEndpoint
from thornjunction.net.downstream.fastcgi_front import FastCgiConnection
from thornjunction.net.event_loop.timer_service import core_ms
from thornjunction.net.wire.commands import Command
from thornjunction.runtime import assembly
from thornjunction.runtime.admin_calls import AdminCalls
from thornjunction.runtime.admin_metrics import collect_admin_metrics
from thornjunction.runtime.command_events import CommandHandler
from thornjunction.runtime.config import Config, check_complete
from thornjunction.runtime.errors import ConfigError
from thornjunction.runtime.exit_codes import ExitCode
from thornjunction.runtime.front_admission import FrontAdmission
from thornjunction.runtime.handover import Handover
from thornjunction.runtime.lifecycle import Lifecycle
from thornjunction.runtime.listeners import Listeners
from thornjunction.runtime.load_sampling import LoadSampler
from thornjunction.runtime.shutdown import Shutdown

if TYPE_CHECKING:  # what the operators' file turns on is imported where there is one
    from thornjunction.runtime.extras import Extras

# Settings that a reload does not change: their names in the log, and the fields of ``Config``.
RESTART_FIELDS = {
    "name": "name",
    "listen": "listen",
    "sockets": "sockets",
    "roles": "roles",
    "shelves": "pool_limits",
}

# How long the start waits for the command channel's first response.
# After it, the configuration's own list is used.
INITIAL_LIST_TIMEOUT_MS = 500.0

log = get_logger(__name__)


class Service:
    """One request router.  Raises ConfigError where the operators' extras can't be built."""

    def __init__(
        self,
        config: Config,
        extras: Extras | None,
        reactor: Any,
        counters: Counters,
        load: Callable[[], Config],
    ) -> None:
        self.config = config
        self.reactor = reactor
        self.state = Lifecycle.STARTING
        self.has_successor = False
        self._load = load
        self._counters = counters
        self._reloads = Counter[str]()
        self._exit_code = ExitCode.STOPPED
        self._build_request_path()
        self._build_extras(extras)
        self._build_control()
        self._apply(config.settings)

    def _build_request_path(self) -> None:
        path = assembly.build_request_path(self.config, self.reactor, self._counters)
        self._path = path
        self.alarm = path.alarm
        self.engine = path.engine
        self.router = path.router
        self.admission = FrontAdmission(path.drain, path.load_shedder, path.engine, self._counters)
        self.commands = CommandHandler(
            path.engine, path.pool, self.config.roles, lambda: self.config.settings, core_ms
        )
        self._load_sampler = LoadSampler(
            path.load_shedder, path.alarm.deadlines, core_ms, path.clients.turns.late_ms
        )
        self._classes: dict[str, api.RequestClass] = {}

    def _build_extras(self, extras: Extras | None) -> None:
        deadlines = self.alarm.deadlines
        name = self.config.name
        self.channel = assembly.build_channel(
            extras, self.config, self.reactor, deadlines, self.handle_command, self.begin_serving
        )
        self._signed_front = assembly.build_signed_front(extras, self._path, self._classes)
        self._metrics = assembly.build_metrics(extras, self.reactor, deadlines, self._counters, name)
        self.fleet = assembly.build_fleet_member(extras, name, deadlines)

    def _build_control(self) -> None:
        path = self._path
        deadlines = path.alarm.deadlines
        self._listeners = Listeners(self.reactor, self._fail)
        self._handover = Handover(self.config.handover_folder, self.config.name)
        self._shutdown = Shutdown(path.clients, path.drain, path.engine, deadlines, core_ms, self._stop)
        self.admin_calls = AdminCalls(
            path.drain, self.is_ready, self._is_shutting_down, self._collect_metrics
        )
        calls = dict(self.admin_calls.by_name)
        if self.fleet is not None:
            calls["fleet"] = self.fleet.view
        self._admin_endpoint = AdminEndpoint(calls, deadlines, core_ms)

    def run(self) -> int:
        """Serve until SIGTERM and return the exit code."""
        signal.signal(signal.SIGTERM, lambda *_: self.reactor.callFromThread(self.shut_down))
        signal.signal(signal.SIGINT, lambda *_: self.reactor.callFromThread(self.shut_down))
        signal.signal(signal.SIGHUP, lambda *_: self.reactor.callFromThread(self.reload))
        self.reactor.callWhenRunning(self.start)
        self.reactor.run(installSignalHandlers=False)
        return self._exit_code

    def start(self) -> None:
        """Take in what is known, and hear what is new, before clients are served."""
        log.info(
            "start", name=self.config.name, sockets=self.config.sockets, shelves=str(self.config.pool_limits)
        )
        self.channel.replay(self.config.initial_commands)
        if self.config.admin is not None:
            self._listeners.listen(*self.config.admin, lambda: AdminConnection(self._admin_endpoint))
        self.channel.start()
        # Guards a process that replaces another against the list of its start, which may be long out of date.
        self.alarm.deadlines.add(core_ms() + INITIAL_LIST_TIMEOUT_MS, self.begin_serving)

    def begin_serving(self) -> None:
        """Open the fronts: the list of endpoints is current, or its time is over."""
        if self.state is not Lifecycle.STARTING:  # guards against a port that opens after SIGTERM
            return
        self.state = Lifecycle.SERVING
        self._load_sampler.start()
        if self.config.listening_descriptor is not None:
            self._listeners.adopt(self.config.listening_descriptor, self._build_platform_connection)
        else:
            self._listeners.listen(*self.config.listen, self._build_platform_connection)
        self._handover.announce()
        if self._signed_front is not None:
            self._listeners.ports += self._signed_front.listen(self.reactor, self._listeners.listen)
        if self._metrics is not None:
            self._metrics.start()
        if self.fleet is not None:
            self.fleet.listen(self.reactor)

    def _build_platform_connection(self) -> FastCgiConnection:
        return FastCgiConnection(
            self._path.clients,
            self.alarm.deadlines,
            core_ms,
            self.engine,
            self.is_ready,
            self.admission.refusal,
            self.admission.count_refused,
            self._path.load_shedder.read_delay_ms,
        )

    def is_ready(self) -> bool:
        """Whether the platform may send clients.

        A process that has a successor says yes to the end: the two are one request router.
        """
        if self.state not in (Lifecycle.SERVING, Lifecycle.SHUTTING_DOWN):
            return False
        return self.has_successor or not self._path.drain.is_active

    def handle_command(self, command: Command) -> None:
        """Take in an event of the command channel."""
        self.commands.handle(command)

    def reload(self) -> None:
        """SIGHUP: take the file's ``channel`` and ``settings``.

        All else in it needs a restart; a faulty file changes nothing.  The signed front's key set and
        certificate are read again too.
        """
        if self._signed_front is not None:
            self._signed_front.reload()
        try:
            reloaded = self._load()
            check_complete(self.config, reloaded)
        except ConfigError as error:
            self._reloads["invalid"] += 1
            log.error("reload refused, nothing changed", reason=str(error))  # noqa: TRY400
            return
        self._reloads["accepted"] += 1
        self._log_reload(reloaded)
        self.channel.move(reloaded.discovery)
        self.config = replace(
            self.config,
            settings=reloaded.settings,
            longest_wait_ms=reloaded.longest_wait_ms,
            key_paths=reloaded.key_paths,
        )
        self._apply(reloaded.settings)
        self.engine.feed(reloaded.settings)

    def _log_reload(self, reloaded: Config) -> None:
        need_restart = [
            name
            for name, field in RESTART_FIELDS.items()
            if getattr(reloaded, field) != getattr(self.config, field)
        ]
        log.info(
            "reloaded",
            channel=f"{reloaded.discovery.host}:{reloaded.discovery.port}",
            need_restart=",".join(need_restart) or "none",
        )

    def _apply(self, settings: api.Settings) -> None:
        """Take the settings outside the decisions; open requests keep those that they came under."""
        flow_bytes_per_ms = self.config.flow_bytes_per_ms
        self.engine.max_attempts = settings.max_attempts
        self.engine.kb_per_byte = (
            settings.transfer_rate_kb_per_ms / flow_bytes_per_ms if flow_bytes_per_ms > 0 else 0.0
        )
        self._classes.clear()  # the signed front holds this mapping
        self._classes |= {request_class.name: request_class for request_class in settings.classes}
        self._counters.classes |= self._classes.keys()
        self.admission.apply(settings)

    def _collect_metrics(self) -> dict[str, int]:
        path = self._path
        metrics = collect_admin_metrics(self._counters, path.engine, path.pool, path.router, self._reloads)
        return metrics | self.channel.figures()

    def _is_shutting_down(self) -> bool:
        return self.state in (Lifecycle.SHUTTING_DOWN, Lifecycle.STOPPED)

    def shut_down(self) -> None:
        """SIGTERM: accept through the stated window, answer all that was accepted, then exit with 0."""
        if self._is_shutting_down():
            return
        was_serving = self.state is Lifecycle.SERVING
        self.state = Lifecycle.SHUTTING_DOWN
        self.has_successor = self._handover.has_successor()
        log.info("draining", succeeded=self.has_successor)
        if self.fleet is not None:
            self.fleet.leave()
        if not was_serving:  # no client was accepted
            self.state = Lifecycle.STOPPED
            self._stop()
            return
        self._shutdown.start(
            self.config.longest_wait_ms, self._listeners.ports, accept_new=not self.has_successor
        )

    def _stop(self) -> None:
        """End the reactor.  The state stays: where there is a successor, this process is ready to the end."""
        self.channel.stopped = True
        log.info("drained")
        self.reactor.stop()

    def _fail(self) -> None:
        """A port can't be opened: the program ends."""
        self._exit_code = ExitCode.PORT_NOT_OPENED
        self.reactor.stop()
