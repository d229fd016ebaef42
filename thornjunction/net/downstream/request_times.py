"""The time limits of a client connection without an open request."""

from __future__ import annotations

from thornjunction.net.event_loop.disconnect_reasons import DisconnectReason

# Between two checks of a connection's time limits.
CHECK_INTERVAL_MS = 500.0

# For the first complete request, and for the rest of one that has begun: the platform asks for 3 s at most.
REQUEST_TIMEOUT_MS = 2_000.0

# From the last progress to the end of a connection that has served requests.
IDLE_TIMEOUT_MS = 30_000.0


class RequestTimes:
    """When a connection last made progress, and since when a request has come in part.

    Attributes:
        has_received_request: whether a complete request ever came.
    """

    __slots__ = ("_partial_request_since_ms", "_progress_at_ms", "has_received_request")

    def __init__(self) -> None:
        self.has_received_request = False
        self._progress_at_ms = 0.0
        self._partial_request_since_ms: float | None = None

    def start(self, now_ms: float) -> None:
        """The connection was accepted."""
        self._progress_at_ms = now_ms

    def update(self, now_ms: float, has_partial_request: bool, request_completed: bool) -> None:
        """Bytes arrived or a response went out.

        Args:
            now_ms: the time.
            has_partial_request: whether a request has come in part.
            request_completed: whether a request came completely, so that the part is of another one.
        """
        if self.has_received_request:
            self._progress_at_ms = now_ms
        if not has_partial_request:
            self._partial_request_since_ms = None
        elif request_completed or self._partial_request_since_ms is None:
            self._partial_request_since_ms = now_ms

    def overdue_reason(self, now_ms: float) -> DisconnectReason | None:
        """Why a connection without an open request has to end now; None where it may stay."""
        partial_since_ms = self._partial_request_since_ms
        if partial_since_ms is not None and now_ms - partial_since_ms >= REQUEST_TIMEOUT_MS:
            return DisconnectReason.PARTIAL_REQUEST
        waited_ms = now_ms - self._progress_at_ms
        if not self.has_received_request and waited_ms >= REQUEST_TIMEOUT_MS:
            return DisconnectReason.SILENT
        return DisconnectReason.IDLE if waited_ms >= IDLE_TIMEOUT_MS else None
