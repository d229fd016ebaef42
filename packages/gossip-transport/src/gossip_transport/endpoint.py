"""Drives one sans-I/O machine from one UDP socket: datagrams in, actions out, in order.

What a peer sends costs it alone.  At most TURN datagrams are handed to the machine in one turn of the
reactor, and at most LOOKED are read from the socket; those between the two are dropped and counted, and what
comes after them waits in the kernel's buffer, which drops what it can't hold."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from typing import Any, cast

from sansio_core import (
    Action,
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
from twisted.internet import protocol

MAX_DATAGRAM = 256  # bytes, in and out
AGAIN_MS = 1_000.0  # until a timer in which the machine failed is due once more
TURN, LOOKED = 32, 512  # datagrams of one turn: handed to the machine; read at all

log = logging.getLogger(__name__)


class FleetPort(protocol.DatagramProtocol):
    """One machine and its socket.  ``clock`` gives monotonic ms; ``schedule(in_ms, call)`` calls once, later,
    never from within; ``tell`` gets each ``Notice``.

    ``counts``: ``in`` and ``out`` (datagrams), ``oversize-in``, ``oversize-out``, ``flood`` (read and
    dropped), ``unsent`` (the socket refused it), ``fault`` (an exception of the machine or of a callable)."""

    def __init__(
        self,
        machine: StateMachine[Event, Action],
        clock: Callable[[], float],
        schedule: Callable[[float, Callable[[], None]], object],
        tell: Callable[[Notice], None],
    ) -> None:
        self.machine, self.clock, self.schedule, self.tell = machine, clock, schedule, tell
        self.counts = Counter[str]()
        self.ended = False
        self._looked = 0
        self._throughput = 0

    def listen(self, reactor: Any, address: tuple[str, int]) -> Any:
        """Bind and start; the port, for its own address and its end.  CannotListenError where it is taken."""
        host, port = address
        return reactor.listenUDP(port, self, interface=host, maxPacketSize=MAX_DATAGRAM + 1)

    def startProtocol(self) -> None:  # noqa: N802
        self._throughput = getattr(self.transport, "maxThroughput", 0)
        self.feed(Started())

    def stopProtocol(self) -> None:  # noqa: N802
        self.ended = True

    def leave(self) -> None:
        """Tell the machine that this process ends in order, once; nothing reaches it after that.  One that
        never listened knows nobody to tell."""
        if self.transport is not None:
            self.feed(ShutdownRequested())
        self.ended = True

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        self._count_turn()
        if len(datagram) > MAX_DATAGRAM:
            self.counts["oversize-in"] += 1
        elif self._looked > TURN:
            self.counts["flood"] += 1
        else:
            self.counts["in"] += 1
            self.feed(DatagramReceived((addr[0], addr[1]), datagram))

    def _count_turn(self) -> None:
        self._looked += 1
        if self._looked == 1:
            self._guarded("schedule", lambda: self.schedule(0.0, self._next_turn))
        elif self._looked == LOOKED:
            self._read_on(0)

    def _next_turn(self) -> None:
        self._looked = 0
        self._read_on(self._throughput)

    def _read_on(self, throughput: int) -> None:
        """Twisted reads a socket until it is empty or so many bytes have come; datagrams without a byte would
        hold it for ever, so the bound itself is lowered once enough were read in one turn."""
        if self._throughput:
            cast(Any, self.transport).maxThroughput = throughput

    def feed(self, event: Event) -> None:
        """Hand the machine one event and carry out its answer; nothing after the end."""
        if self.ended:
            return
        now = self.clock()
        actions: list[Action] = []
        if not self._guarded("handle", lambda: actions.extend(self.machine.handle(now, event))):
            self._again(event)
        for action in actions:
            self._guarded("action", lambda action=action: self._carry_out(action))  # type: ignore[misc]

    def _again(self, event: Event) -> None:
        """A timer in which the machine failed may have been its last: it must not stand still for good."""
        if isinstance(event, TimerFired):
            self._guarded("schedule", lambda: self.schedule(AGAIN_MS, lambda: self.feed(event)))

    def _carry_out(self, action: Action) -> None:
        match action:
            case SendDatagram(to, data):
                self._send(to, data)
            case SetTimer(in_ms, token):
                self.schedule(in_ms, lambda: self.feed(TimerFired(token)))
            case Notice():
                self.tell(action)

    def _send(self, to: tuple[str, int], data: bytes) -> None:
        if len(data) > MAX_DATAGRAM:
            self.counts["oversize-out"] += 1
            log.error("fleet datagram of %d bytes is not sent: over %d", len(data), MAX_DATAGRAM)
            return
        try:
            cast(Any, self.transport).write(data, to)
            self.counts["out"] += 1
        except OSError:  # a full buffer or no route: for the machine no more than a loss
            self.counts["unsent"] += 1

    def _guarded(self, what: str, call: Callable[[], object]) -> bool:
        """Whether it went well.  A fault must neither end the process nor fill its log: the 1st, 2nd, 4th,
        8th... are written."""
        try:
            call()
            return True
        except Exception:
            self.counts["fault"] += 1
            if self.counts["fault"].bit_count() == 1:
                log.exception("fleet fault in %s, %d so far", what, self.counts["fault"])
            return False
