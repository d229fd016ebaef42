"""The UDP endpoint of one state machine: delivers datagrams to it and carries out its actions in order.

The cost of a flood is bounded in each iteration of the reactor: at most ``MAX_HANDLED_PER_TURN`` datagrams
reach the state machine and at most ``MAX_READ_PER_TURN`` are read from the socket.  Datagrams read beyond the
first limit are dropped and counted.  Unread ones stay in the kernel's buffer, which drops those that do not
fit.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

from sansio_core import (
    MAX_DATAGRAM_BYTES,
    Action,
    Address,
    DatagramReceived,
    Event,
    Notice,
    SendDatagram,
    SetTimer,
    ShutdownRequested,
    Started,
    StateMachine,
    TimerFired,
)
from sansio_core.log_thinning import is_power_of_two
from twisted.internet import protocol

from gossip_transport.log_events import TransportLogEvent

# Time after which a timer whose handling failed fires again; it is below the periods of the fleet's timers.
TIMER_RETRY_MS = 1_000.0

# Maximum number of datagrams delivered to the state machine in one iteration of the reactor, so that a flood
# leaves time for requests.
MAX_HANDLED_PER_TURN = 32

# Maximum number of datagrams read from the socket in one iteration of the reactor, both handled and dropped.
MAX_READ_PER_TURN = 512

_log = logging.getLogger(__name__)


@dataclass(slots=True)
class EndpointCounters:
    """The counters of an endpoint since its start.

    ``oversize_received`` and ``oversize_unsent`` count datagrams over the size limit, ``flood_dropped``
    those over the limit of one iteration, ``send_failures`` those whose sending failed, and ``faults`` the
    exceptions raised by the state machine or by a callback.
    """

    received: int = 0
    sent: int = 0
    oversize_received: int = 0
    oversize_unsent: int = 0
    flood_dropped: int = 0
    send_failures: int = 0
    faults: int = 0


class DatagramEndpoint(protocol.DatagramProtocol):
    """Connects one state machine with one UDP socket.

    ``clock_ms`` returns the time on a monotonic clock.  ``schedule(in_ms, callback)`` calls
    ``callback`` once, and never before ``schedule`` has returned.  ``on_notice`` receives each ``Notice`` of
    the state machine.
    """

    def __init__(
        self,
        machine: StateMachine[Event, Action],
        clock_ms: Callable[[], float],
        schedule: Callable[[float, Callable[[], None]], object],
        on_notice: Callable[[Notice], None],
    ) -> None:
        self.machine = machine
        self.clock_ms = clock_ms
        self.schedule = schedule
        self.on_notice = on_notice
        self.counters = EndpointCounters()
        self.closed = False
        self._read_in_turn = 0
        self._max_throughput_bytes = 0

    def listen(self, reactor: Any, address: Address) -> Any:
        """Bind the socket and start; return Twisted's port, which has the bound address and can be closed.

        Raises ``CannotListenError`` if the address is in use.
        """
        host, port = address
        # One byte above the limit: at the limit, a longer datagram would arrive truncated to a valid size.
        return reactor.listenUDP(port, self, interface=host, maxPacketSize=MAX_DATAGRAM_BYTES + 1)

    def startProtocol(self) -> None:  # noqa: N802
        """Start the state machine once the socket is bound (called by Twisted)."""
        self._max_throughput_bytes = getattr(self.transport, "maxThroughput", 0)
        self.deliver(Started())

    def stopProtocol(self) -> None:  # noqa: N802
        """Stop delivering events once the socket is closed (called by Twisted)."""
        self.closed = True

    def shut_down(self) -> None:
        """Let the state machine announce a graceful shutdown; no event is delivered to it afterwards.

        Further calls have no effect.  An endpoint that never listened has no peers to notify.
        """
        if self.transport is not None:
            self.deliver(ShutdownRequested())
        self.closed = True

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        """Deliver a datagram to the state machine, within the limits of size and rate (called by Twisted)."""
        self._count_read()
        if len(datagram) > MAX_DATAGRAM_BYTES:
            self.counters.oversize_received += 1
        elif self._read_in_turn > MAX_HANDLED_PER_TURN:
            self.counters.flood_dropped += 1
        else:
            self.counters.received += 1
            host, port = addr[:2]
            self.deliver(DatagramReceived((host, port), datagram))

    def deliver(self, event: Event) -> None:
        """Deliver an event to the state machine and carry out its actions; do nothing if closed."""
        if self.closed:
            return
        now = self.clock_ms()
        actions: list[Action] = []
        if not self._call_guarded("handle", lambda: actions.extend(self.machine.handle(now, event))):
            self._retry_timer(event)
        for action in actions:
            self._call_guarded("action", lambda action=action: self._carry_out(action))  # type: ignore[misc]

    def _count_read(self) -> None:
        self._read_in_turn += 1
        if self._read_in_turn == 1:
            self._call_guarded("schedule", lambda: self.schedule(0.0, self._start_next_turn))
        elif self._read_in_turn == MAX_READ_PER_TURN:
            self._limit_throughput(0)

    def _start_next_turn(self) -> None:
        self._read_in_turn = 0
        self._limit_throughput(self._max_throughput_bytes)

    def _limit_throughput(self, max_bytes: int) -> None:
        """Set how many bytes Twisted reads from the socket before it returns to the reactor.

        Empty datagrams never use up a limit in bytes, so the limit is set to 0 once ``MAX_READ_PER_TURN``
        datagrams have been read in one iteration.
        """
        if self._max_throughput_bytes:
            cast(Any, self.transport).maxThroughput = max_bytes

    def _retry_timer(self, event: Event) -> None:
        """Fire a timer again if its handling failed, since it may have been the only pending timer."""
        if isinstance(event, TimerFired):
            self._call_guarded("schedule", lambda: self.schedule(TIMER_RETRY_MS, lambda: self.deliver(event)))

    def _carry_out(self, action: Action) -> None:
        match action:
            case SendDatagram(to, data):
                self._send(to, data)
            case SetTimer(in_ms, token):
                self.schedule(in_ms, lambda: self.deliver(TimerFired(token)))
            case Notice():
                self.on_notice(action)

    def _send(self, to: Address, data: bytes) -> None:
        if len(data) > MAX_DATAGRAM_BYTES:
            self.counters.oversize_unsent += 1
            _log.error(TransportLogEvent.DATAGRAM_OVERSIZED, extra={"size_bytes": len(data)})
            return
        try:
            cast(Any, self.transport).write(data, to)
            self.counters.sent += 1
        except OSError:  # a full buffer or no route: for the state machine the datagram is lost
            self.counters.send_failures += 1

    def _call_guarded(self, step: str, call: Callable[[], object]) -> bool:
        """Call a function; return False if it raised an exception, which is counted.

        An exception must neither end the process nor flood the log: only the 1st, 2nd, 4th, 8th and so on
        are logged.
        """
        try:
            call()
        except Exception:
            self.counters.faults += 1
            if is_power_of_two(self.counters.faults):
                _log.exception(
                    TransportLogEvent.ENDPOINT_FAILED,
                    extra={"step": step, "failures": self.counters.faults},
                )
            return False
        return True
