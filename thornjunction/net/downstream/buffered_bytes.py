"""The bytes that a client connection buffers: partly received requests, open ones and unsent responses."""

from __future__ import annotations

from thornjunction.estimates import FAST_GAIN, SmoothedMean
from thornjunction.memory.budget import ByteBudget, Evict, Measure


class BufferedBytes:
    """The bytes that one connection counts in the byte budget shared by all client connections.

    The functions that it passes on are not stored here, because that would create a reference cycle with
    their connection.  ``measure`` returns the bytes of open requests and of responses that wait.

    Attributes:
        is_write_paused: whether the socket's send buffer is full, so that responses wait in this process.
    """

    __slots__ = ("_budget", "_partial_request_bytes", "_response_bytes", "is_write_paused")

    def __init__(self, budget: ByteBudget) -> None:
        self.is_write_paused = False
        self._budget = budget
        self._partial_request_bytes = 0
        # Size of the responses to requests that the core took.
        self._response_bytes = SmoothedMean(FAST_GAIN)

    def reserve(self, evict: Evict, partial_request_bytes: int) -> None:
        """Reserve the bytes of partly received requests; may call ``evict`` of this or another connection."""
        if partial_request_bytes or self._partial_request_bytes:
            self._partial_request_bytes = partial_request_bytes
            self._budget.reserve(evict, partial_request_bytes)

    def measure_again(self, measure: Measure) -> None:
        """Count open requests and waiting responses as they are now."""
        self._budget.measure_held(measure)

    def admits_request(self, measure: Measure, size_bytes: int) -> bool:
        """Return whether there is room for a complete request of this size."""
        return self._budget.admits(measure, size_bytes)

    def expects_response_room(self, measure: Measure, open_requests: int) -> bool:
        """Return whether there will be room for the responses to all open requests and one more."""
        if not self.is_write_paused:
            return True
        expected_bytes = int(self._response_bytes.get(0.0) * (open_requests + 1))
        return self._budget.admits(measure, expected_bytes)

    def admits_response(self, measure: Measure, size_bytes: int) -> bool:
        """Return whether a response of this size may be written; a client that reads gets any."""
        self._response_bytes.add(size_bytes)
        return not self.is_write_paused or self._budget.admits(measure, size_bytes)

    def release(self, evict: Evict, measure: Measure) -> None:
        """Release all bytes, after the connection has ended."""
        self.reserve(evict, 0)
        self._budget.release_held(measure)
