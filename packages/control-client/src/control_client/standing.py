"""What is known of one source."""

from __future__ import annotations

import math
from dataclasses import dataclass

from sansio_core import Address

PROBE_MS = 3000.0  # after which a probe of which nothing was reported counts as failed


@dataclass(slots=True)
class Source:
    """Times are on the caller's clock; ``math.inf`` stands for never."""

    address: Address
    place: int  # in the order
    sibling: bool
    fails: int = 0  # in a row
    strikes: int = 0  # failed or was behind when it was asked; none after a calm while
    retry_at: float = -math.inf  # may be asked again
    look_at: float = math.inf  # the next probe
    probed_until: float = math.inf  # a probe is out
    as_of: float = -math.inf  # as it told last
    good_since: float = math.inf  # it has answered probes well ever since
    go_at: float = math.inf  # when to go back to it

    @property
    def name(self) -> str:
        return f"{self.address[0]}:{self.address[1]}"

    def doubt(self) -> None:
        """It does not answer well: it has to prove itself from the start."""
        self.good_since = self.go_at = math.inf

    def next_due(self) -> float:
        return min(self.look_at, self.probed_until, self.go_at)


def doubled(first: float, times: int, most: float) -> float:
    """Doubled so many times, up to a bound."""
    return min(first * 2.0 ** min(max(times, 0), 16), most)
