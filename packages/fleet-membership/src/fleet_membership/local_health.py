"""Local health (Lifeguard, Dadgar et al., 2017, section IV.A): whether this router itself is slow."""

from __future__ import annotations

# The worst score: the saturation limit of the Lifeguard paper.
MAX_SCORE = 8


class LocalHealth:
    """A score that grows with evidence that this router is slow or unreachable; 0 is healthy."""

    def __init__(self) -> None:
        self.score = 0

    @property
    def multiplier(self) -> int:
        """The factor by which probe and suspicion timeouts of this router are extended."""
        return 1 + self.score

    def degrade(self, by: int = 1) -> None:
        """Raise the score after evidence of bad health, such as a missed ``Nack`` or a late timer."""
        self.score = min(MAX_SCORE, self.score + by)

    def improve(self) -> None:
        """Lower the score by one after evidence of good health."""
        self.score = max(0, self.score - 1)
