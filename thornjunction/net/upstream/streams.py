"""A stream: one attempt or health check, from its acceptance by the pool to its outcome."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Protocol

from thornjunction.core.ports import UpstreamRequest
from thornjunction.memory.deadlines import Deadline


class StreamTarget(Protocol):
    """The server that a stream was dispatched to."""

    def withdraw(self, stream: Stream) -> bool:
        """Remove a stream that waits for a connection; return False if it is not waiting."""

    def cancel(self, stream: Stream) -> None:
        """Cancel a stream that is in flight on one of the server's connections."""


@dataclass(slots=True, eq=False)
class Stream:
    """An attempt or a health check that waits for a connection or is in flight on one.

    Attributes:
        server: name of the server.
        stream_id: identifies the response on the connection; for an attempt it is the transaction id.
        attempt: the attempt to send; None for a health check.
        accepted_ms: when the pool accepted the stream.
        start_by_ms: the stream must not be written after this time.
        target: the server, once the stream was dispatched to it.
        start_deadline: enforces ``start_by_ms`` while the stream waits for a connection.
        timeout: the deadline of a health check.
    """

    server: str
    stream_id: str
    attempt: UpstreamRequest | None
    accepted_ms: float
    start_by_ms: float = math.inf
    target: StreamTarget | None = None
    start_deadline: Deadline | None = None
    timeout: Deadline | None = None
