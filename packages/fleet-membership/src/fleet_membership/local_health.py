"""The local health of Lifeguard (Dadgar et al., 2017, section IV.A): how far this router trusts its own
eyes."""

from __future__ import annotations

MOST = 8


class LocalHealth:
    """0 is well.  Probe times and suspicion times are multiplied by ``stretch``."""

    def __init__(self) -> None:
        self.score = 0

    @property
    def stretch(self) -> int:
        return 1 + self.score

    def worse(self, by: int = 1) -> None:
        self.score = min(MOST, self.score + by)

    def better(self) -> None:
        self.score = max(0, self.score - 1)
