"""The time limits of a client connection without an open request."""

from __future__ import annotations

from thornjunction.net.event_loop.disconnect_reasons import DisconnectReason

# Interval between two checks of a connection's time limits.
CHECK_INTERVAL_MS = 500.0

# Time limit for the first complete request, and for the rest of a partly received one.  The platform requires
# 3 s at most.
REQUEST_TIMEOUT_MS = 2_000.0

# Time from the last progress until a connection that has received requests is closed.
IDLE_TIMEOUT_MS = 30_000.0


class RequestTimes:
    """When a connection last made progress, and when its partly received request began.

    Attributes:
        has_received_request: whether a complete request was ever received.
    """

    __slots__ = ("_partial_request_since_ms", "_progress_at_ms", "has_received_request")

    def __init__(self) -> None:
        self.has_received_request = False
        self._progress_at_ms = 0.0
        self._partial_request_since_ms: float | None = None

    def start(self, now_ms: float) -> None:
        """Start the time limits of a connection that was accepted now."""
        self._progress_at_ms = now_ms

    def update(self, now_ms: float, has_partial_request: bool, request_completed: bool) -> None:
        """Update the times, after bytes arrived or a response was written.

        Args:
            now_ms: the time of the core's clock.
            has_partial_request: whether a request is partly received.
            request_completed: whether a request was completed, so that the partial one is a new request.
        """
        if self.has_received_request:
            self._progress_at_ms = now_ms
        if not has_partial_request:
            self._partial_request_since_ms = None
        elif request_completed or self._partial_request_since_ms is None:
            self._partial_request_since_ms = now_ms

    def overdue_reason(self, now_ms: float) -> DisconnectReason | None:
        """Return why a connection without an open request must end now; None if it may stay open."""
        partial_since_ms = self._partial_request_since_ms
        if partial_since_ms is not None and now_ms - partial_since_ms >= REQUEST_TIMEOUT_MS:
            return DisconnectReason.PARTIAL_REQUEST
        waited_ms = now_ms - self._progress_at_ms
        if not self.has_received_request and waited_ms >= REQUEST_TIMEOUT_MS:
            return DisconnectReason.SILENT
        return DisconnectReason.IDLE if waited_ms >= IDLE_TIMEOUT_MS else None
