"""Divides the requests that an overloaded process admits among its clients, max-min fairly.

Each client may have the same number of requests admitted in a window; what some do not use, the others
divide.  So only clients with more requests than the others have some of them rejected.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable

# Greatest number of clients that are distinguished in a window; all further ones count as one.
MAX_CLIENTS = 1024

# The client that all clients above ``MAX_CLIENTS`` count as.
OTHERS = "others"


class ClientShares:
    """Counts the requests of each client in windows, and computes the share of them to admit."""

    def __init__(self) -> None:
        self._counts: Counter[Hashable] = Counter()
        self._previous: Counter[Hashable] = Counter()
        # The requests of each client that are admitted in a window, and the share of all for which this was
        # computed; None: it is not known.
        self._limit = 0.0
        self._limit_share: float | None = None

    def record(self, client: Hashable) -> None:
        """Count a request."""
        self._counts[self._counted_client(client)] += 1

    def _counted_client(self, client: Hashable) -> Hashable:
        return client if client in self._counts or len(self._counts) < MAX_CLIENTS else OTHERS

    def end_window(self) -> None:
        """Begin the next window."""
        self._previous = self._counts
        self._counts = Counter()
        self._limit_share = None

    def admitted_share(self, client: Hashable, share: float) -> float:
        """Return the share of a client's requests to admit, if ``share`` of all requests can be."""
        if share != self._limit_share:
            self._limit = self._find_limit(share)
            self._limit_share = share
        count = max(self._previous[client], self._counts[client], 1)
        return min(self._limit / count, 1.0)

    def _find_limit(self, share: float) -> float:
        """Return the number of requests of each client at which ``share`` of those of all are admitted."""
        recent = self._previous | self._counts
        remaining = share * recent.total()
        counts = sorted(recent.values())
        for position, count in enumerate(counts):
            limit = remaining / (len(counts) - position)
            if count > limit:
                return limit
            remaining -= count
        return float(counts[-1])
