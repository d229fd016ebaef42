"""One budget for what all connections together hold: parts of messages, and answers that are not read."""

from __future__ import annotations

from collections.abc import Callable


class Budget:
    """Who holds how much, and by what call each can be made to let go."""

    def __init__(self, limit: int) -> None:
        self.limit, self.total = limit, 0
        self._held: dict[Callable[[str], None], int] = {}

    def hold(self, close: Callable[[str], None], size: int) -> None:
        """``close``, a connection's own, now holds so much.  Past the limit the greatest holder goes: that is
        the one that sends without end, or doesn't read, and not those that share the budget with it."""
        self.total += size - self._held.pop(close, 0)
        if size:
            self._held[close] = size
        while self.total > self.limit and self._held:
            greatest = max(self._held, key=self._held.__getitem__)
            self.total -= self._held.pop(greatest)
            greatest("memory")
