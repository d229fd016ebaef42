"""The exception that ends a run when a check fails."""

from __future__ import annotations


class InvariantViolationError(Exception):
    """A check failed at simulated time ``at_ms``; ``node`` is empty if it concerns all nodes."""

    def __init__(self, check: str, at_ms: float, node: str, reason: str) -> None:
        super().__init__(check, at_ms, node, reason)
        self.check = check
        self.at_ms = at_ms
        self.node = node
        self.reason = reason

    def __str__(self) -> str:
        return f"{self.check} at {self.at_ms:.1f} ms at {self.node or 'the end'}: {self.reason}"
