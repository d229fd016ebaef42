"""Stream ids that a connection must not use again yet: a response to an earlier stream may still come."""

from __future__ import annotations

from collections.abc import Callable

# Cancelled streams of one connection; it gets no further streams past this.
MAX_CANCELLED_IDS = 256

# Answered streams of one connection whose ids are withheld at a time.
MAX_WITHHELD_IDS = 256

# After a response, during which its id is not used again: a duplicate response comes soon.
DUPLICATE_RESPONSE_WINDOW_MS = 200.0


class StreamIdRegister:
    """Ids of cancelled and of lately answered streams of one connection.

    Attributes:
        cancelled: by id, whether the response to the cancelled stream may still come.  A late response must
            not pass for the response to a new attempt with the same id.
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
        """Keep the id of a stream that was cancelled on the connection."""
        self.cancelled[stream_id] = True

    def take_late_response(self, stream_id: str) -> bool:
        """Whether a response is the one late response that a cancelled stream may get."""
        if not self.cancelled.get(stream_id):
            return False
        self.cancelled[stream_id] = False
        return True

    def withhold(self, stream_id: str, now_ms: float) -> None:
        """Guards against a duplicate response, which must not pass for that to the next stream of this id."""
        withheld = self._withheld_until_ms
        while withheld:
            oldest_id = next(iter(withheld))
            if len(withheld) < MAX_WITHHELD_IDS and withheld[oldest_id] >= now_ms:
                break
            del withheld[oldest_id]
        withheld[stream_id] = now_ms + DUPLICATE_RESPONSE_WINDOW_MS
