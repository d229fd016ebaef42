"""What the fronts ask of the core."""

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
        """The client no longer waits for the answer of a request."""
