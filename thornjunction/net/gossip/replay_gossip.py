"""Tokens with a ``jti`` taken once per fleet in intent: what this router takes is told to its peers over UDP,
and what they take is learnt into its own replay window (``docs/design/second-front.md``).

Off on the platform, which forbids talk between instances; the operators' file turns it on elsewhere.  What a
peer sends costs it alone: one datagram is decoded at a time, within a fixed size, and a forged or garbled one
is dropped and counted, never logged in full."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from twisted.internet import protocol

from thornjunction.log_events import LogEvent
from thornjunction.log_thinning import is_power_of_two
from thornjunction.logs import get_logger
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.wire import ProtocolError, gossip
from thornjunction.signing.replay import ReplayEntry, ReplayWindow

FLUSH_MS, MAX_QUEUED = 10.0, 4096  # how often taken keys are sent; how many wait at most

log = get_logger(__name__)


class ReplayGossip(protocol.DatagramProtocol):
    """One UDP socket: tells peers what is taken here, learns what they took.  ``counts`` holds ``sent``,
    ``learnt``, ``known`` (already in the window), ``dropped`` (the queue was full),
    ``unsent`` (the system refused a datagram) and one code a refused
    datagram."""

    def __init__(
        self,
        window: ReplayWindow,
        peers: tuple[tuple[str, int], ...],
        secret: bytes,
        deadlines: Deadlines,
        clock_ms: Callable[[], float],
        unix_s: Callable[[], float],
    ) -> None:
        self.window, self.peers, self.secret = window, peers, secret
        self.deadlines, self.clock_ms, self.unix_s = deadlines, clock_ms, unix_s
        self.queue: deque[ReplayEntry] = deque(maxlen=MAX_QUEUED)
        self.counts = Counter[str]()
        self.flushing = False

    def tell(self, entry: ReplayEntry) -> None:
        """A token taken here; sent with the next flush."""
        if len(self.queue) == MAX_QUEUED:
            self.counts["dropped"] += 1
        self.queue.append(entry)
        if not self.flushing:
            self.flushing = True
            self.deadlines.add(self.clock_ms() + FLUSH_MS, self._flush)

    def _flush(self) -> None:
        self.flushing = False
        transport: Any = self.transport
        while self.queue and transport is not None:
            batch = [self.queue.popleft() for _ in range(min(len(self.queue), gossip.MAX_ENTRIES))]
            datagram = gossip.encode(batch, self.secret)
            for peer in self.peers:
                self._send(transport, datagram, peer)
            self.counts["sent"] += len(batch)

    def _send(self, transport: Any, datagram: bytes, peer: tuple[str, int]) -> None:
        try:
            transport.write(datagram, peer)
        except OSError:  # no buffer, no way there: for the peer no more than a lost datagram
            self.counts["unsent"] += 1

    def datagramReceived(self, data: bytes, addr: Any) -> None:  # noqa: N802
        try:
            entries = gossip.decode(data, self.secret)
        except ProtocolError as error:
            self.counts[str(error)] += 1
            if is_power_of_two(self.counts[str(error)]):
                log.info(
                    LogEvent.REPLAY_GOSSIP_REJECTED,
                    peer=addr[0],
                    code=str(error),
                    count=self.counts[str(error)],
                )
            return
        now = self.unix_s()
        for entry in entries:
            self.counts["learnt" if self.window.learn(entry.key, entry.expires_s, now) else "known"] += 1
