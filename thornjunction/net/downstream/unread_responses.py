"""What a client has not read yet of the responses written to its connection, and whether it still reads."""

from __future__ import annotations

import socket
import struct
from enum import Enum, auto
from typing import Any, NamedTuple

from thornjunction.net.event_loop.ports import Transport

# How long a client may read nothing while responses wait for it.
STALL_TIMEOUT_MS = 10_000.0

# Interval between two checks whether a client reads.
READ_CHECK_INTERVAL_MS = 500.0

# The fields of ``struct tcp_info`` in <linux/tcp.h> that are used: ``tcpi_unacked`` in segments,
# ``tcpi_bytes_acked`` and ``tcpi_notsent_bytes``.
TCP_INFO = struct.Struct("=24x I 92x Q 16x I")


class Reading(Enum):
    """How far a client has read the responses on its connection.

    Attributes:
        COMPLETE: its system has acknowledged all of them.
        IN_PROGRESS: some wait to be read, and it reads.
        STALLED: some wait to be read, and it has read nothing for ``STALL_TIMEOUT_MS``.
    """

    COMPLETE = auto()
    IN_PROGRESS = auto()
    STALLED = auto()


class SendQueue(NamedTuple):
    """The responses in the system's send queue of one connection.

    Attributes:
        acknowledged_bytes: number of bytes that the client's system has acknowledged so far.
        is_empty: whether it has acknowledged all bytes that were passed to the system.
    """

    acknowledged_bytes: int
    is_empty: bool


EMPTY_SEND_QUEUE = SendQueue(0, True)


def unsent_bytes(transport: Transport) -> int:
    """Return the number of bytes that were written and not yet passed to the system."""
    tcp = _tcp_transport(transport)
    return len(tcp.dataBuffer) - tcp.offset + tcp._tempDataLen


def read_send_queue(transport: Transport) -> SendQueue:
    """Read the state of a connection's send queue from the system; empty if the system does not report it."""
    handle: Any = _tcp_transport(transport).getHandle()
    try:
        info = handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size)
    except OSError:
        return EMPTY_SEND_QUEUE
    if len(info) < TCP_INFO.size:
        return EMPTY_SEND_QUEUE
    unacknowledged_segments, acknowledged_bytes, unsent = TCP_INFO.unpack(info)
    return SendQueue(acknowledged_bytes, not unacknowledged_segments and not unsent)


def has_unread_responses(transport: Transport) -> bool:
    """Whether the client's system has not acknowledged all responses."""
    return bool(unsent_bytes(transport)) or not read_send_queue(transport).is_empty


def _tcp_transport(transport: Transport) -> Transport:
    """Return the TCP connection below a TLS connection, or the connection itself."""
    below: Transport | None = getattr(transport, "transport", None)
    return below or transport


class StallDetector:
    """Detects that a client has read nothing for ``STALL_TIMEOUT_MS`` while responses wait for it.

    A full send buffer alone is no sign of this: it never empties while responses are written as fast as the
    client reads them.  Therefore the bytes that the client's system acknowledges are compared, and those that
    this system accepts: it accepts more once a part of those before was acknowledged.

    Attributes:
        written_bytes: number of bytes written to the connection so far.
    """

    __slots__ = ("_accepted_bytes", "_acknowledged_bytes", "_progress_at_ms", "written_bytes")

    def __init__(self) -> None:
        self.written_bytes = 0
        self._accepted_bytes = 0
        self._acknowledged_bytes = 0
        self._progress_at_ms = 0.0

    def start(self, now_ms: float, transport: Transport) -> None:
        """Start at a moment when responses begin to wait."""
        self._note_progress(transport, read_send_queue(transport))
        self._progress_at_ms = now_ms

    def check(self, now_ms: float, transport: Transport) -> Reading:
        """Return how far the client has read; to be called at regular intervals while responses wait."""
        queue = read_send_queue(transport)
        if queue.is_empty and not unsent_bytes(transport):
            return Reading.COMPLETE
        if self._note_progress(transport, queue):
            self._progress_at_ms = now_ms
        is_stalled = now_ms - self._progress_at_ms >= STALL_TIMEOUT_MS
        return Reading.STALLED if is_stalled else Reading.IN_PROGRESS

    def _note_progress(self, transport: Transport, queue: SendQueue) -> bool:
        accepted_bytes = self.written_bytes - unsent_bytes(transport)
        has_progress = (
            queue.acknowledged_bytes > self._acknowledged_bytes or accepted_bytes > self._accepted_bytes
        )
        self._acknowledged_bytes = max(self._acknowledged_bytes, queue.acknowledged_bytes)
        self._accepted_bytes = max(self._accepted_bytes, accepted_bytes)
        return has_progress
