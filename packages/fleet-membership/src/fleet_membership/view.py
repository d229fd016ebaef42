"""The fleet as other components of a router see it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from gossip_codec import MemberState
from sansio_core import Address


class PartitionMode(Enum):
    """Which side of a possible partition this router is on; the values are documented words of the log."""

    WITH_MAJORITY = "with-majority"
    """A majority of the voters is reachable."""
    MINORITY = "cut-off"
    """No majority of the voters is reachable, but some other member is alive."""
    ISOLATED = "alone"
    """No other member is alive."""
    REJOINING = "rejoining"
    """Started, or resumed after a pause, and no majority has answered since."""


class LinkState(Enum):
    """How a member is reached from this router; the values are documented words of the log."""

    DIRECT = "direct"
    """Probes are answered."""
    INDIRECT = "indirect"
    """Probes are answered through other members only."""
    ONE_WAY = "one-way"
    """Probes are not answered directly, but the member's datagrams arrive."""
    FLAPPING = "flapping"
    """Suspected too often; shown as suspect for some time."""


@dataclass(frozen=True, slots=True)
class MemberView:
    """One member as this router sees it."""

    name: str
    address: Address
    incarnation: int
    state: MemberState
    link: LinkState = LinkState.DIRECT


@dataclass(frozen=True, slots=True)
class MembershipView:
    """An immutable snapshot of the fleet.

    ``members`` includes this router.  ``majority_since_ms`` is when ``has_majority`` last changed, on the
    caller's monotonic clock.  ``local_health`` is Lifeguard's score, 0 being healthy: probe and suspicion
    timeouts are multiplied by 1 + ``local_health``.
    """

    version: int
    members: Mapping[str, MemberView]
    has_majority: bool
    majority_since_ms: float
    mode: PartitionMode
    local_health: int
