"""The input of a client connection, which is postponed while the client causes too much overhead."""

from __future__ import annotations

from abc import abstractmethod
from collections.abc import Callable, Hashable

from thornjunction.memory.deadlines import Deadline, Deadlines
from thornjunction.net.downstream.front_requests import FrontRequests
from thornjunction.net.downstream.overhead import ClientOverhead, OverheadMeter
from thornjunction.net.downstream.pending_input import has_peer_closed, receive_pending
from thornjunction.net.event_loop.disconnect_reasons import DisconnectReason
from thornjunction.net.event_loop.ports import Transport

# Bytes of a client with much overhead that are read between two checks of its limit.
PIECE_BYTES = 4096

# Shortest time for which input is postponed.
MIN_POSTPONEMENT_MS = 1.0

# Longest time between two checks whether a client whose input is postponed has closed the connection.  No
# request may begin 100 ms after its client has left.
PEER_CHECK_INTERVAL_MS = 20.0


# Time after which a connection's client is told from others of its host.
KNOWN_CLIENT_MS = 1_000.0


class MeteredInput(FrontRequests):
    """Measures what reading a connection costs, and stops reading while that is too much.

    Bytes that were read from the socket before that are kept, and handled later.  A client whose requests
    reach the core is never held back.

    Attributes:
        connected_at_ms: when the connection was created, on the core's clock.
        overhead: the processor time that the client used without a request that reached the core.
    """

    transport: Transport  # type: ignore[assignment]

    def __init__(self, meter: OverheadMeter, deadlines: Deadlines, clock: Callable[[], float]) -> None:
        self.deadlines = deadlines
        self.clock = clock
        self.connected_at_ms = clock()
        self.overhead = ClientOverhead(meter)
        self._postponed = b""
        self._resumption: Deadline | None = None

    @abstractmethod
    def receive(self, data: bytes) -> None:
        """Handle bytes that have arrived."""

    @abstractmethod
    def end_input(self, reason: str) -> None:
        """Note that the client has closed the connection, or that it ends for another reason."""

    @property
    def client_id(self) -> Hashable:
        """What tells the client from others; its host, until it has been connected for a while.

        So clients that connect anew for each request count as one.
        """
        if self.clock() - self.connected_at_ms >= KNOWN_CLIENT_MS:
            return id(self)
        return self.peer_host

    @property
    def peer_host(self) -> str:
        """The host of the connection's peer; empty if the transport has no peer."""
        get_peer = getattr(self.transport, "getPeer", None)
        return "" if get_peer is None else str(getattr(get_peer(), "host", ""))

    @property
    def is_input_postponed(self) -> bool:
        """Whether the connection is not read at the moment."""
        return self._resumption is not None

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handle the bytes, or keep a part of them for later (called by Twisted)."""
        if self.is_input_postponed:
            self._postponed += data
            return
        self._receive_pieces(data)

    def _receive_pieces(self, data: bytes) -> None:
        position = 0
        while position < len(data):
            end = position + PIECE_BYTES if self.overhead.is_suspicious else len(data)
            self.overhead.begin_work()
            self.receive(data[position:end])
            position = end
            wait_ms = self.overhead.wait_ms(self.clock())
            if wait_ms:
                self._postpone(data[position:], wait_ms)
                return

    def _postpone(self, data: bytes, wait_ms: float) -> None:
        """Read no more for a while; ``data`` was already read."""
        self._postponed = data
        self.transport.pauseProducing()
        delay_ms = min(max(wait_ms, MIN_POSTPONEMENT_MS), PEER_CHECK_INTERVAL_MS)
        self._resumption = self.deadlines.add(self.clock() + delay_ms, self._continue_input)

    def _continue_input(self) -> None:
        if has_peer_closed(self.transport):
            self.end_input(DisconnectReason.CLOSED_BY_PEER)
            self.stop_postponing()
            return
        wait_ms = self.overhead.wait_ms(self.clock())
        data = self._postponed
        if wait_ms:
            self._postpone(data, wait_ms)
            return
        self._postponed = b""
        self._resumption = None
        self._receive_pieces(data)
        if not self.is_input_postponed:
            self.transport.resumeProducing()

    def receive_pending(self) -> bytes:
        """Read the bytes that arrived since Twisted last read; also detects the end of the connection."""
        return b"" if self.is_input_postponed else receive_pending(self.transport, self.end_input)

    def receive_ahead(self) -> bytes:
        """Read the bytes that have arrived, unless the client causes overhead; also detects its close."""
        if not (self.is_input_postponed or self.overhead.is_suspicious):
            return self.receive_pending()
        if has_peer_closed(self.transport):
            self.end_input(DisconnectReason.CLOSED_BY_PEER)
        return b""

    def stop_postponing(self) -> None:
        """Discard the bytes that were kept, and read the connection again: it only waits for its end."""
        self.overhead.release()
        self._postponed = b""
        if self._resumption is not None:
            self.deadlines.cancel(self._resumption)
            self._resumption = None
            self.transport.resumeProducing()
