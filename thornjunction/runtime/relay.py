"""``[relay]``: this process is a relay.  It follows discovery or other relays by the command channel, answers
the routers and relays that poll it, and tells operators what is done everywhere.  No fronts, no shelfs, no
decisions.  Imported only where the operators' file has the section."""

from __future__ import annotations

import math
import random
import resource
import secrets
import signal
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

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
from control_relay import RelaySettings as MachineSettings
from sansio_core import Notice, SetTimer, Started, TimerFired
from twisted.internet import protocol

from thornjunction.logs import get_logger
from thornjunction.net.alarm import Alarm, core_ms
from thornjunction.net.operators import OperatorsDoor, OperatorsLink
from thornjunction.net.relay import Pollers
from thornjunction.net.sourced_channel import SourcedChannel
from thornjunction.net.transport import Building, server_endpoint
from thornjunction.net.unix_clock import UnixClock
from thornjunction.net.wire.commands import Command, ListChange, encode_host
from thornjunction.net.wire.polls import Poll
from thornjunction.runtime.config import ConfigError
from thornjunction.runtime.control_settings import RelaySettings
from thornjunction.runtime.relay_view import RelayView

MOST_CONNECTIONS = 4096
OWN_DESCRIPTORS = 64  # of the program, its upstream and its door
END_MS = 500.0  # for the last answers to be read
# Relays are few: they may notice soon that discovery is back.
TIMES = SelectionTimings(max_probe_interval_ms=2_000.0)
SKEW_MS = 60_000.0  # by which discovery's clock may differ from this machine's
AGAIN_MS = 1_000.0  # until a timer in which the machine failed is due once more

log = get_logger(__name__)


class RelayProcess:
    """One relay from its start to its exit."""

    def __init__(self, settings: RelaySettings, reactor: Any) -> None:
        self.settings, self.reactor = settings, reactor
        self.alarm, self.unix = Alarm(reactor), UnixClock()
        deadlines = self.alarm.deadlines
        told = MachineSettings(
            expected_members=settings.routers,
            batch_window_ms=settings.join_ms,
            purge_retention_ms=settings.hold_ms,
        )
        # Unix seconds, so that a plain router that comes from elsewhere takes what it is told.
        self.machine = Relay(told, secrets.token_hex(8), int(time.time()) << 20)
        self.pollers = Pollers(_connections(), deadlines, core_ms, self._polled, self._gone)
        self.faults, self.ending, self.faulty = Counter[str](), False, False
        view = RelayView(self.machine, self.pollers, core_ms, self.dismiss)
        self.operators = OperatorsDoor(view.calls, deadlines, core_ms, view.named)
        self.upstream = SourcedChannel(
            reactor,
            SourceSelector(settings.upstreams, random.random, settings.siblings, TIMES),
            settings.hold_ms,
            deadlines,
            core_ms,
            self.take,
            on_current=lambda: None,
            name=settings.name,
            words=self._words,
            on_epoch=lambda: self.feed(UpstreamChanged()),
            on_confirmed=self._confirmed,
        )
        self._ports: list[Any] = []

    def start(self) -> None:
        """Listen at once: who polls before there is a state is told so, and goes elsewhere."""
        self.feed(Started())
        log.info("relay-start", name=self.settings.name, connections=self.pollers.most)
        self._listen(self.settings.listen, self.pollers.build)
        if self.settings.admin_addr is not None:
            self._listen(self.settings.admin_addr, lambda: OperatorsLink(self.operators))
        self.upstream.start()

    def feed(self, event: RelayEvent) -> None:
        """Hand the machine one event and carry out its answer, in order."""
        actions: list[RelayAction] = []
        try:
            actions = self.machine.handle(core_ms(), event)
        except Exception:
            self._failed(event)
        for action in actions:
            self._carry_out(action)

    def _failed(self, event: RelayEvent) -> None:
        """A fault must neither end the process nor fill its log; and a timer in which the machine failed may
        have been its last: it must not stand still for good."""
        self.faults["machine"] += 1
        if self.faults["machine"].bit_count() == 1:
            log.exception("relay-fault", kind=type(event).__name__, times=self.faults["machine"])
        if isinstance(event, TimerFired):
            self._later(AGAIN_MS, lambda: self.feed(event))

    def _carry_out(self, action: RelayAction) -> None:
        match action:
            case SendResponse(poller, body):
                self.pollers.answer(poller, body)
            case RejectPoll(poller, reason):
                self.pollers.refuse(poller, reason)
            case SetTimer(in_ms, token):
                self._later(in_ms, lambda: self.feed(TimerFired(token)))
            case Notice(name, fields):
                log.info(name, **fields)

    def _later(self, in_ms: float, call: Callable[[], None]) -> None:
        self.alarm.deadlines.add(core_ms() + in_ms, call)

    def _polled(self, poller: int, poll: Poll) -> None:
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

    def _gone(self, poller: int) -> None:
        self.feed(PollerDisconnected(poller))

    def dismiss(self, name: str) -> None:
        """A router or relay was taken out of service: nobody waits for it any more."""
        log.info("dismissed", name=name)
        self.feed(MemberDeregistered(name))

    def take(self, command: Command) -> None:
        """An event of the upstream, as it was understood."""
        if isinstance(command, ListChange):
            hosts = tuple(encode_host(host) for host in command.hosts)
            return self.feed(EndpointListUpdate(command.cursor, command.seq, command.is_complete, hosts))
        # Guards routers against an hour of purges that no cache holds any more, and the bound on those kept;
        # their numbers count with the answer's end.
        hold_ms = self.settings.hold_ms
        age_ms = max(core_ms() - self.unix.to_core(command.issued_unix_ms, hold_ms + SKEW_MS) - SKEW_MS, 0.0)
        if age_ms > hold_ms:
            return
        key = f"{command.key:016x}" if command.key is not None else None
        family = command.group if key is None else -1
        self.feed(PurgeReceived(command.cursor, key, family, command.issued_unix_ms, age_ms))

    def _confirmed(self, age_ms: float, number: int) -> None:
        """All that was told so far, up to this number of the upstream, stood so, so long ago."""
        if math.isfinite(age_ms):
            self.feed(UpstreamConfirmed(age_ms, number))

    def _words(self, sibling: bool) -> str:
        """What this relay's own polls say beside their number: what all below it have confirmed."""
        if sibling:
            return f"&as=sibling&name={self.settings.name}"
        progress = self.machine.upstream_progress()
        names = "&names=" + ",".join(progress.lagging_names) if progress.lagging_names else ""
        done, behind = progress.acknowledged, progress.lagging_count
        return f"&as=relay&name={self.settings.name}&done={done}&behind={behind}{names}"

    def _listen(self, address: tuple[str, int], build: Callable[[], protocol.Protocol]) -> None:
        """Open a port; one that can't be had ends the program with a message."""
        opening = server_endpoint(self.reactor, address).listen(Building(build))
        opening.addCallbacks(self._ports.append, lambda failure: self._no_port(failure.value))

    def _no_port(self, error: object) -> None:
        log.error("cannot-listen", reason=str(error))
        self.faulty = True
        self.reactor.stop()

    def end(self) -> None:
        """SIGTERM: no new polls; who waits is answered with what there is; then exit 0."""
        if self.ending:
            return
        self.ending = self.upstream.stopped = True
        log.info("relay-ending", open=len(self.pollers.links))
        for port in self._ports:
            port.stopListening()
        self.pollers.end()
        self._wait_for_readers(core_ms() + END_MS)

    def _wait_for_readers(self, until: float) -> None:
        if self.pollers.links and core_ms() < until:
            return self._later(10.0, lambda: self._wait_for_readers(until))
        log.info("relay-ended", unread=len(self.pollers.links))
        self.reactor.stop()

    def run(self) -> int:
        """Until SIGTERM; the exit code."""
        signal.signal(signal.SIGTERM, lambda *_: self.reactor.callFromThread(self.end))
        signal.signal(signal.SIGINT, lambda *_: self.reactor.callFromThread(self.end))
        self.reactor.callWhenRunning(self.start)
        self.reactor.run(installSignalHandlers=False)
        return int(self.faulty)


def _connections() -> int:
    """As many as the descriptors that this process may have allow."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < 2 * OWN_DESCRIPTORS and soft != resource.RLIM_INFINITY:
        raise ConfigError(f"relay: {soft} descriptors are too few, {2 * OWN_DESCRIPTORS} at least")
    return (
        MOST_CONNECTIONS if soft == resource.RLIM_INFINITY else min(soft - OWN_DESCRIPTORS, MOST_CONNECTIONS)
    )
