"""Remembers which requests that must not be executed twice were sent, by their transaction ids."""

from __future__ import annotations

from thornjunction import interface as api

# Most ids that are remembered; the oldest are forgotten first.
MAX_IDS = 8192


class SentRequests:
    """The latest attempt of each request of a non-idempotent class that may have been executed.

    A client may send a request again under its id, on another connection after it has left.  An id that was
    forgotten, or that another process of this router has sent, counts as new.
    """

    def __init__(self) -> None:
        self._by_id: dict[str, api.PossibleExecution] = {}

    def get(self, transaction_id: str) -> api.PossibleExecution | None:
        """Return the attempt under an id that may have been executed."""
        return self._by_id.get(transaction_id)

    def record(self, transaction_id: str, execution: api.PossibleExecution) -> None:
        """Record an attempt that is sent; an empty id is not recorded."""
        if not transaction_id:
            return
        if len(self._by_id) >= MAX_IDS:
            del self._by_id[next(iter(self._by_id))]
        self._by_id[transaction_id] = execution

    def withdraw(self, transaction_id: str, execution: api.PossibleExecution) -> None:
        """Remove an attempt that was not executed."""
        if self._by_id.get(transaction_id) is execution:
            del self._by_id[transaction_id]
