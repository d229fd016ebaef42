"""Exchange of used tokens between routers over UDP, so that the fleet accepts a token with a ``jti`` once.

It is best effort: each router sends its peers the tokens that it has accepted, and adds theirs to its own
replay window (``docs/design/second-front.md``).  The platform forbids traffic between instances, so the
exchange is off unless the operators' file enables it.  The cost of a peer's datagrams is limited: their size
is bounded, and forged or malformed ones are dropped, counted and never logged in full.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from twisted.internet import protocol

from thornjunction.log_events import LogEvent
from thornjunction.log_thinning import is_power_of_two
from thornjunction.logs import get_logger
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.wire import ProtocolError, gossip
from thornjunction.signing.replay import ReplayEntry, ReplayWindow

# Time between the acceptance of a token and its datagram, so that one datagram carries several tokens.
FLUSH_DELAY_MS = 10.0
# Most entries that wait for the next flush; beyond it, the oldest one is dropped.
MAX_QUEUED_ENTRIES = 4096

Address = tuple[str, int]

log = get_logger(__name__)


class DatagramTransport(Protocol):
    """Interface of the exchange to its UDP socket."""

    def write(self, datagram: bytes, addr: Address) -> object:
        """Send a datagram.  Raises OSError if the operating system refuses it."""


@dataclass(frozen=True, slots=True)
class GossipGroup:
    """The routers that exchange their used tokens.

    Attributes:
        peers: addresses of the other routers.
        secret: the key that authenticates datagrams.
    """

    peers: tuple[Address, ...]
    secret: bytes


class ReplayGossip(protocol.DatagramProtocol):
    """Sends and receives the exchange's datagrams on one UDP socket.

    Attributes:
        window: the tokens that were accepted by this router or by its peers.
        group: the routers that take part in the exchange.
        counts: entries that were ``sent``, ``learnt``, ``known`` (received before) and ``dropped`` (the queue
            was full), datagrams that the system refused (``unsent``), and rejected datagrams by their code.
    """

    transport: DatagramTransport | None = None  # type: ignore[assignment]

    def __init__(
        self,
        window: ReplayWindow,
        group: GossipGroup,
        deadlines: Deadlines,
        clock: Callable[[], float],
        unix_s: Callable[[], float],
    ) -> None:
        """Initialize with an empty queue.

        Args:
            window: the replay window, to which the peers' tokens are added.
            group: the routers that take part in the exchange.
            deadlines: the process's queue of deadlines.
            clock: the core's clock, in ms.
            unix_s: the system's clock, in Unix seconds.
        """
        self.window = window
        self.group = group
        self.counts = Counter[str]()
        self._deadlines = deadlines
        self._clock = clock
        self._unix_s = unix_s
        self._queue: deque[ReplayEntry] = deque(maxlen=MAX_QUEUED_ENTRIES)
        self._is_flush_scheduled = False

    def announce(self, entry: ReplayEntry) -> None:
        """Queue a token that this router has accepted; the next flush sends it to the peers."""
        if len(self._queue) == MAX_QUEUED_ENTRIES:
            self.counts["dropped"] += 1
        self._queue.append(entry)
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._deadlines.add(self._clock() + FLUSH_DELAY_MS, self._flush)

    def datagramReceived(self, data: bytes, addr: Address) -> None:  # noqa: N802
        """Add a peer's entries to the replay window; drop and count a malformed or forged datagram."""
        try:
            entries = gossip.decode(data, self.group.secret)
        except ProtocolError as error:
            self._record_rejection(str(error), addr)
            return
        now_unix_s = self._unix_s()
        for entry in entries:
            is_new = self.window.learn(entry.key, entry.expires_s, now_unix_s)
            self.counts["learnt" if is_new else "known"] += 1

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        while self._queue and self.transport is not None:
            batch_size = min(len(self._queue), gossip.MAX_ENTRIES)
            batch = [self._queue.popleft() for _ in range(batch_size)]
            datagram = gossip.encode(batch, self.group.secret)
            for peer in self.group.peers:
                self._send(self.transport, datagram, peer)
            self.counts["sent"] += len(batch)

    def _send(self, transport: DatagramTransport, datagram: bytes, peer: Address) -> None:
        """Send a datagram; one that the system refuses is counted and has the same effect as a lost one."""
        try:
            transport.write(datagram, peer)
        except OSError:
            self.counts["unsent"] += 1

    def _record_rejection(self, code: str, addr: Address) -> None:
        """Count a rejected datagram, and log the first, second, fourth, eighth and so on of its code.

        The thinning protects the log from a flood of such datagrams.
        """
        self.counts[code] += 1
        count = self.counts[code]
        if is_power_of_two(count):
            log.info(LogEvent.REPLAY_GOSSIP_REJECTED, peer=addr[0], code=code, count=count)
