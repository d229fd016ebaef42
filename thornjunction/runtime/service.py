"""The request router process, from its start to its exit."""

from __future__ import annotations

import signal
from collections.abc import Callable
from typing import TYPE_CHECKING

from thornjunction.core.counters import Counters
from thornjunction.log_events import LogEvent
from thornjunction.logs import get_logger
from thornjunction.net.admin.admin_endpoint import AdminConnection, AdminEndpoint
from thornjunction.net.event_loop.timer_service import core_ms
from thornjunction.net.wire.commands import Command
from thornjunction.runtime import assembly
from thornjunction.runtime.admin_calls import AdminCalls
from thornjunction.runtime.admin_metrics import collect_admin_metrics
from thornjunction.runtime.command_events import CommandHandler
from thornjunction.runtime.config import Config
from thornjunction.runtime.config_reload import ConfigReloader, replace_settings
from thornjunction.runtime.exit_codes import ExitCode
from thornjunction.runtime.front_admission import FrontAdmission
from thornjunction.runtime.lifecycle import Lifecycle
from thornjunction.runtime.listeners import Listeners
from thornjunction.runtime.load_sampling import LoadSampler
from thornjunction.runtime.platform_front import PlatformFront
from thornjunction.runtime.process_reactor import ProcessReactor
from thornjunction.runtime.settings_in_force import SettingsInForce
from thornjunction.runtime.shutdown import Shutdown

if TYPE_CHECKING:  # optional parts are imported at run time only if the operators' file enables them
    from thornjunction.core.engine import Engine
    from thornjunction.net.event_loop.timer_service import TimerService
    from thornjunction.policy.router import Router
    from thornjunction.runtime.extras import Extras
    from thornjunction.runtime.fleet import FleetMember

# How long the start waits for the command channel's first response.
# After this time the router serves with the endpoint list of its configuration.
INITIAL_LIST_TIMEOUT_MS = 500.0

log = get_logger(__name__)


class Service:
    """A request router process.

    Args:
        config: the configuration at the start.
        extras: the features that the operators' file enables, or None if there is no file.
        reactor: the event loop.
        counters: count requests and attempts.
        load: reads the configuration again.

    Attributes:
        config: the configuration in force.
        reactor: the event loop.
        state: the state of the process.
        has_successor: whether another process had taken over the listening socket when SIGTERM came.
        channel: the command channel.
        commands: translates the events of the command channel for the engine and the pool.
        admin_calls: the calls of the admin endpoint.

    Raises:
        ConfigError: a part that the operators' file enables cannot be built.
    """

    def __init__(
        self,
        config: Config,
        extras: Extras | None,
        reactor: ProcessReactor,
        counters: Counters,
        load: Callable[[], Config],
    ) -> None:
        self.config = config
        self.reactor = reactor
        self.state = Lifecycle.STARTING
        self.has_successor = False
        self._exit_code = ExitCode.STOPPED
        path = assembly.build_request_path(config, reactor, counters)
        deadlines = path.timer_service.deadlines
        admission = FrontAdmission(path.drain, path.load_shedder, path.engine, counters)
        settings = SettingsInForce(path.engine, admission, counters, config.flow_bytes_per_ms)
        self._request_path = path
        self.commands = CommandHandler(
            path.engine, path.pool, config.roles, lambda: self.config.settings, core_ms
        )
        self.channel = assembly.build_channel(
            extras, config, reactor, deadlines, self.handle_command, self.begin_serving
        )
        self._optional_parts = assembly.build_optional_parts(
            extras, config.name, path, settings.classes, reactor
        )
        self._listeners = Listeners(reactor, self._exit_on_listen_failure)
        self._platform_front = PlatformFront(config, path, admission, self.is_ready)
        self._shutdown = Shutdown(path.clients, path.drain, path.engine, deadlines, core_ms, self._stop)
        self.admin_calls = AdminCalls(
            path.drain, self.is_ready, self._is_shutting_down, self._collect_metrics
        )
        self._reloader = ConfigReloader(load, settings)
        settings.apply(config.settings)

    @property
    def timer_service(self) -> TimerService:
        """The timer service, which runs the deadlines of all parts."""
        return self._request_path.timer_service

    @property
    def engine(self) -> Engine:
        """The engine, which owns open requests and attempts."""
        return self._request_path.engine

    @property
    def router(self) -> Router:
        """The router, which makes the routing decisions."""
        return self._request_path.router

    @property
    def fleet(self) -> FleetMember | None:
        """The fleet membership, or None if the operators' file does not enable it."""
        return self._optional_parts.fleet

    def run(self) -> int:
        """Serve until SIGTERM and return the exit code."""
        signal.signal(signal.SIGTERM, lambda *_: self.reactor.callFromThread(self.shut_down))
        signal.signal(signal.SIGINT, lambda *_: self.reactor.callFromThread(self.shut_down))
        signal.signal(signal.SIGHUP, lambda *_: self.reactor.callFromThread(self.reload))
        self.reactor.callWhenRunning(self.start)
        self.reactor.run(installSignalHandlers=False)
        return self._exit_code

    def start(self) -> None:
        """Apply the initial endpoint list, and connect to discovery before clients are served."""
        log.info(
            LogEvent.ROUTER_STARTED,
            name=self.config.name,
            client_connections=self.config.sockets,
            server_connections=str(self.config.pool_limits),
        )
        self.channel.replay(self.config.initial_commands)
        self._open_admin_endpoint()
        self.channel.start()
        # A process that replaces another has an old endpoint list: it waits for a new one, up to this limit.
        self.timer_service.deadlines.add(core_ms() + INITIAL_LIST_TIMEOUT_MS, self.begin_serving)

    def _open_admin_endpoint(self) -> None:
        if self.config.admin is None:
            return
        calls = self.admin_calls.by_name | self._optional_parts.admin_calls()
        endpoint = AdminEndpoint(calls, self.timer_service.deadlines, core_ms)
        self._listeners.listen(*self.config.admin, lambda: AdminConnection(endpoint))

    def begin_serving(self) -> None:
        """Open the fronts once the endpoint list is current or ``INITIAL_LIST_TIMEOUT_MS`` has passed."""
        if self.state is not Lifecycle.STARTING:  # guards against a port that opens after SIGTERM
            return
        self.state = Lifecycle.SERVING
        self._start_load_sampling()
        self._platform_front.listen(self._listeners)
        self._optional_parts.start(self.reactor, self._listeners)

    def _start_load_sampling(self) -> None:
        path = self._request_path
        clients = path.clients
        sampler = LoadSampler(
            path.load_shedder,
            path.timer_service.deadlines,
            core_ms,
            clients.scheduler.longest_wait_ms,
            lambda: clients.overhead_meter.total_ms,
        )
        sampler.start()

    def is_ready(self) -> bool:
        """Return whether the platform may send clients to this router.

        A process with a successor stays ready until it exits, because both are one router to the platform.
        """
        if self.state not in (Lifecycle.SERVING, Lifecycle.SHUTTING_DOWN):
            return False
        return self.has_successor or not self._request_path.drain.is_active

    def handle_command(self, command: Command) -> None:
        """Handle an event of the command channel."""
        self.commands.handle(command)

    def reload(self) -> None:
        """Handle SIGHUP: read the configuration, the key set and the TLS files again.

        From the configuration, only ``channel`` and ``settings`` are applied; all other keys need a restart.
        """
        self._optional_parts.reload()
        reloaded = self._reloader.reload(self.config)
        if reloaded is None:
            return
        self.channel.change_address(reloaded.discovery)
        self.config = replace_settings(self.config, reloaded)
        self.engine.feed(reloaded.settings)

    def _collect_metrics(self) -> dict[str, int]:
        path = self._request_path
        metrics = collect_admin_metrics(
            path.counters, path.engine, path.pool, path.router, self._reloader.counts
        )
        return metrics | self.channel.metrics()

    def _is_shutting_down(self) -> bool:
        return self.state in (Lifecycle.SHUTTING_DOWN, Lifecycle.STOPPED)

    def shut_down(self) -> None:
        """Handle SIGTERM: accept requests until the accept window ends, answer all of them, then exit."""
        if self._is_shutting_down():
            return
        was_serving = self.state is Lifecycle.SERVING
        self.state = Lifecycle.SHUTTING_DOWN
        self.has_successor = self._platform_front.has_successor()
        log.info(LogEvent.SHUTDOWN_STARTED, has_successor=self.has_successor)
        self._optional_parts.leave_fleet()
        if not was_serving:  # no client has been accepted yet
            self.state = Lifecycle.STOPPED
            self._stop()
            return
        self._shutdown.start(
            self.config.longest_wait_ms, self._listeners.ports, accept_connections=not self.has_successor
        )

    def _stop(self) -> None:
        """Stop the reactor; keep the state, since a process with a successor stays ready until it exits."""
        self.channel.stop()
        log.info(LogEvent.SHUTDOWN_FINISHED)
        self.reactor.stop()

    def _exit_on_listen_failure(self) -> None:
        """Stop the process because a port cannot be opened."""
        self._exit_code = ExitCode.PORT_NOT_OPENED
        self.reactor.stop()
