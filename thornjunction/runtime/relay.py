"""The relay process, from its start to its exit.

A relay polls discovery or other relays over the command channel, answers the routers and relays that poll it,
and reports to operators what has been fully propagated.  It has no fronts, uses no cache servers and makes no
routing decisions.  This module is imported only if the operators' file has a ``[relay]`` section.
"""

from __future__ import annotations

import math
import random
import resource
import secrets
import signal
import time
from collections.abc import Callable

from control_client import SelectionTimings, SourceSelector
from control_relay import (
    EndpointListUpdate,
    MemberDeregistered,
    PollerDisconnected,
    PollReceived,
    PollRequest,
    PurgeReceived,
    RejectPoll,
    Relay,
    RelayAction,
    RelayEvent,
    SendResponse,
    UpstreamChanged,
    UpstreamConfirmed,
)
from control_relay import RelaySettings as CoreSettings
from sansio_core import Notice, SetTimer, Started, TimerFired

from thornjunction.log_events import LogEvent
from thornjunction.log_thinning import is_power_of_two
from thornjunction.logs import get_logger
from thornjunction.net.admin.admin_endpoint import AdminConnection, AdminEndpoint
from thornjunction.net.discovery.multi_source_watch import MultiSourceWatch, PollIdentity
from thornjunction.net.discovery.watch import WatchHandlers
from thornjunction.net.discovery.watch_context import WatchContext
from thornjunction.net.event_loop.timer_service import TimerService, core_ms
from thornjunction.net.event_loop.unix_clock import UnixClock
from thornjunction.net.relay.poller_table import PollerTable
from thornjunction.net.wire.commands import Command, ListChange, Purge, encode_host
from thornjunction.net.wire.polls import Poll
from thornjunction.runtime.control_settings import RelaySettings
from thornjunction.runtime.errors import FaultyKeyError
from thornjunction.runtime.exit_codes import ExitCode
from thornjunction.runtime.lifecycle import Lifecycle
from thornjunction.runtime.listeners import Listeners
from thornjunction.runtime.process_reactor import ProcessReactor
from thornjunction.runtime.relay_status import RelayStatusCalls

# Most connections of routers and relays; fewer if the limit on file descriptors is lower.
MAX_CONNECTIONS = 4096

# File descriptors reserved for the program itself, its upstream and its admin endpoint.
RESERVED_DESCRIPTORS = 64

# Smallest limit on file descriptors with which a relay starts.
MIN_DESCRIPTORS = 2 * RESERVED_DESCRIPTORS

# How long the shutdown waits for pollers to read their last responses.
FLUSH_TIMEOUT_MS = 500.0

# Time between checks whether the last responses have been read.
FLUSH_CHECK_INTERVAL_MS = 10.0

# Timings of the upstream selection.  Because there are few relays, they may probe often, and so notice soon
# that discovery is available again.
SELECTION_TIMINGS = SelectionTimings(max_probe_interval_ms=2_000.0)

# Largest expected difference between discovery's clock and this machine's clock.
MAX_CLOCK_SKEW_MS = 60_000.0

# Delay after which a timer fires again if the core failed to handle it.
FAILED_TIMER_RETRY_MS = 1_000.0

# Number of random bytes in the name of an epoch.
EPOCH_BYTES = 8

# Event numbers per second of Unix time, as a power of two; the first number is the start time times this.
# It is above those of earlier processes, so that a router that polled one of them accepts this one's events.
FIRST_NUMBER_SHIFT = 20

log = get_logger(__name__)


class RelayProcess:
    """A relay, from its start to its exit.

    Raises:
        ConfigError: the limit on this process's file descriptors is too low.
    """

    def __init__(self, settings: RelaySettings, reactor: ProcessReactor) -> None:
        self._settings = settings
        self._reactor = reactor
        self._state = Lifecycle.STARTING
        self._exit_code = ExitCode.STOPPED
        self._failures = 0
        self._unix_clock = UnixClock()
        self._timer_service = TimerService(reactor)
        self._deadlines = self._timer_service.deadlines
        self._listeners = Listeners(reactor, self._exit_on_listen_failure)
        self._relay = _build_core(settings)
        self._pollers = PollerTable(
            _max_connections(), self._deadlines, core_ms, self._handle_poll, self._handle_disconnect
        )
        calls = RelayStatusCalls(self._relay, self._pollers, core_ms, self.deregister)
        self._admin_endpoint = AdminEndpoint(calls.by_name, self._deadlines, core_ms, calls.with_argument)
        self._upstream = self._build_upstream()

    def _build_upstream(self) -> MultiSourceWatch:
        settings = self._settings
        handlers = WatchHandlers(
            self.handle_command,
            on_epoch=lambda: self.feed(UpstreamChanged()),
            on_confirmed=self._handle_confirmation,
        )
        return MultiSourceWatch(
            WatchContext(self._reactor, self._deadlines, core_ms),
            SourceSelector(settings.upstreams, random.random, settings.siblings, SELECTION_TIMINGS),
            settings.purge_retention_ms,
            PollIdentity(settings.name, self._poll_query),
            handlers,
        )

    def run(self) -> int:
        """Serve until SIGTERM and return the exit code."""
        signal.signal(signal.SIGTERM, lambda *_: self._reactor.callFromThread(self.shut_down))
        signal.signal(signal.SIGINT, lambda *_: self._reactor.callFromThread(self.shut_down))
        self._reactor.callWhenRunning(self.start)
        self._reactor.run(installSignalHandlers=False)
        return self._exit_code

    def start(self) -> None:
        """Listen at once; a poll before there is a state is rejected, and the poller tries another source."""
        self._state = Lifecycle.SERVING
        self.feed(Started())
        max_connections = self._pollers.max_connections
        log.info(LogEvent.RELAY_STARTED, name=self._settings.name, max_connections=max_connections)
        self._listeners.listen(*self._settings.listen, self._pollers.build_connection)
        if self._settings.admin is not None:
            self._listeners.listen(*self._settings.admin, lambda: AdminConnection(self._admin_endpoint))
        self._upstream.start()

    def feed(self, event: RelayEvent) -> None:
        """Pass one event to the core and carry out the resulting actions in order."""
        actions: list[RelayAction] = []
        try:
            actions = self._relay.handle(core_ms(), event)
        except Exception:
            self._handle_core_failure(event)
        for action in actions:
            self._carry_out(action)

    def _handle_core_failure(self, event: RelayEvent) -> None:
        """Log a failure of the core, which must neither end the process nor fill its log.

        If the core failed to handle a timer, it may have set no other one, so the same timer fires again.
        """
        self._failures += 1
        if is_power_of_two(self._failures):
            log.exception(
                LogEvent.RELAY_EVENT_FAILED, event_kind=type(event).__name__, failures=self._failures
            )
        if isinstance(event, TimerFired):
            self._schedule(FAILED_TIMER_RETRY_MS, lambda: self.feed(event))

    def _carry_out(self, action: RelayAction) -> None:
        match action:
            case SendResponse(poller, body):
                self._pollers.respond(poller, body)
            case RejectPoll(poller, reason):
                self._pollers.reject(poller, reason)
            case SetTimer(delay_ms, token):
                self._schedule(delay_ms, lambda: self.feed(TimerFired(token)))
            case Notice(name, fields):
                log.info(name, **fields)

    def _schedule(self, delay_ms: float, call: Callable[[], None]) -> None:
        self._deadlines.add(core_ms() + delay_ms, call)

    def _handle_poll(self, poller: int, poll: Poll) -> None:
        request = PollRequest(
            poll.resume,
            poll.block_ms,
            poll.epoch,
            poll.role,
            poll.name,
            acknowledged=poll.acknowledged or 0,
            lagging_count=poll.lagging_count,
            lagging_names=poll.lagging_names,
        )
        self.feed(PollReceived(poller, request))

    def _handle_disconnect(self, poller: int) -> None:
        self.feed(PollerDisconnected(poller))

    def deregister(self, name: str) -> None:
        """Stop waiting for acknowledgements of a router or relay that was taken out of service."""
        log.info(LogEvent.MEMBER_DEREGISTERED, name=name)
        self.feed(MemberDeregistered(name))

    def handle_command(self, command: Command) -> None:
        """Feed an event from the upstream to the core."""
        if isinstance(command, ListChange):
            hosts = tuple(encode_host(host) for host in command.hosts)
            self.feed(EndpointListUpdate(command.cursor, command.seq, command.is_complete, hosts))
        else:
            self._handle_purge(command)

    def _handle_purge(self, purge: Purge) -> None:
        """Feed a purge to the core, unless it is older than the retention.

        Older purges would be sent to routers to no effect and would fill the table of purges.  Their numbers
        count as received at the end of the response.
        """
        retention_ms = self._settings.purge_retention_ms
        issued_ms = self._unix_clock.to_core(purge.issued_unix_ms, retention_ms + MAX_CLOCK_SKEW_MS)
        age_ms = max(core_ms() - issued_ms - MAX_CLOCK_SKEW_MS, 0.0)
        if age_ms > retention_ms:
            return
        key = f"{purge.key:016x}" if purge.key is not None else None
        group = purge.group if key is None else -1
        self.feed(PurgeReceived(purge.cursor, key, group, purge.issued_unix_ms, age_ms))

    def _handle_confirmation(self, age_ms: float, number: int) -> None:
        """Tell the core that the upstream confirmed its state up to ``number`` ``age_ms`` ago."""
        if math.isfinite(age_ms):
            self.feed(UpstreamConfirmed(age_ms, number))

    def _poll_query(self, sibling: bool) -> str:
        """Return the query of this relay's own polls: its name, and what its downstream has acknowledged."""
        if sibling:
            return f"&as=sibling&name={self._settings.name}"
        progress = self._relay.upstream_progress()
        query = f"&as=relay&name={self._settings.name}"
        query += f"&done={progress.acknowledged}&behind={progress.lagging_count}"
        if progress.lagging_names:
            query += "&names=" + ",".join(progress.lagging_names)
        return query

    def shut_down(self) -> None:
        """Handle SIGTERM: accept no new polls, answer pending ones with the current state, then exit."""
        if self._state in (Lifecycle.SHUTTING_DOWN, Lifecycle.STOPPED):
            return
        self._state = Lifecycle.SHUTTING_DOWN
        self._upstream.stop()
        log.info(LogEvent.RELAY_SHUTDOWN_STARTED, open_connections=len(self._pollers.connections))
        for port in self._listeners.ports:
            port.stopListening()
        self._pollers.drain()
        self._stop_once_flushed(core_ms() + FLUSH_TIMEOUT_MS)

    def _stop_once_flushed(self, until_ms: float) -> None:
        if self._pollers.connections and core_ms() < until_ms:
            self._schedule(FLUSH_CHECK_INTERVAL_MS, lambda: self._stop_once_flushed(until_ms))
            return
        log.info(LogEvent.RELAY_STOPPED, unread_connections=len(self._pollers.connections))
        self._state = Lifecycle.STOPPED
        self._reactor.stop()

    def _exit_on_listen_failure(self) -> None:
        """Stop the process because a port cannot be opened."""
        self._exit_code = ExitCode.PORT_NOT_OPENED
        self._reactor.stop()


def _build_core(settings: RelaySettings) -> Relay:
    core_settings = CoreSettings(
        expected_members=settings.routers,
        batch_window_ms=settings.batch_window_ms,
        purge_retention_ms=settings.purge_retention_ms,
    )
    first_number = int(time.time()) << FIRST_NUMBER_SHIFT
    return Relay(core_settings, secrets.token_hex(EPOCH_BYTES), first_number)


def _max_connections() -> int:
    """Return the limit on connections, which depends on the limit on file descriptors of this process.

    Raises:
        ConfigError: the limit on this process's file descriptors is too low.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        return MAX_CONNECTIONS
    if limit < MIN_DESCRIPTORS:
        raise FaultyKeyError(
            "relay", f"{limit} descriptors are too few, at least {MIN_DESCRIPTORS} are needed"
        )
    return min(limit - RESERVED_DESCRIPTORS, MAX_CONNECTIONS)
