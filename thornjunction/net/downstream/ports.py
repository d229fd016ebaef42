"""The interface of the core that the fronts use."""

from __future__ import annotations

from typing import Protocol

from thornjunction.core.ports import ClientRequest, ReplyCallback


class RequestCore(Protocol):
    """Takes requests and gives each its final answer."""

    def open(self, call: ClientRequest, reply: ReplyCallback) -> int:
        """Take a request and return its number; ``reply`` may be called before this returns.

        Raises:
            RequestTableFullError: there is no capacity for another request.
        """

    def abandon(self, number: int) -> None:
        """End a request whose client no longer waits for the answer."""
