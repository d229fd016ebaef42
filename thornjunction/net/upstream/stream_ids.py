"""Stream ids that a connection must not reuse yet, as a response to an earlier stream may still arrive."""

from __future__ import annotations

from collections.abc import Callable

# Number of cancelled streams on one connection from which on it gets no further streams.
MAX_CANCELLED_IDS = 256

# Maximum number of answered streams on one connection whose ids are withheld at the same time.
MAX_WITHHELD_IDS = 256

# Time after a response during which its id is not reused; a duplicate response arrives within it.
DUPLICATE_RESPONSE_WINDOW_MS = 200.0


class StreamIdRegister:
    """The ids of cancelled and of recently answered streams of one connection.

    Attributes:
        cancelled: by id, whether the response to the cancelled stream may still arrive.  A late response must
            not be taken for the response to a new attempt with the same id.
    """

    def __init__(self) -> None:
        self.cancelled: dict[str, bool] = {}
        self._withheld_until_ms: dict[str, float] = {}

    def is_available(self, stream_id: str, clock: Callable[[], float]) -> bool:
        """Whether a new stream may use the id."""
        if stream_id in self.cancelled:
            return False
        withheld_until_ms = self._withheld_until_ms.get(stream_id)
        return withheld_until_ms is None or clock() > withheld_until_ms

    def add_cancelled(self, stream_id: str) -> None:
        """Record the id of a stream that was cancelled on the connection."""
        self.cancelled[stream_id] = True

    def take_late_response(self, stream_id: str) -> bool:
        """Return whether a response is the first late one to a cancelled stream; a second one is not."""
        if not self.cancelled.get(stream_id):
            return False
        self.cancelled[stream_id] = False
        return True

    def withhold(self, stream_id: str, now_ms: float) -> None:
        """Withhold an id for a time, so that a duplicate is not taken for the next stream's response."""
        withheld = self._withheld_until_ms
        while withheld:
            oldest_id = next(iter(withheld))
            if len(withheld) < MAX_WITHHELD_IDS and withheld[oldest_id] >= now_ms:
                break
            del withheld[oldest_id]
        withheld[stream_id] = now_ms + DUPLICATE_RESPONSE_WINDOW_MS
