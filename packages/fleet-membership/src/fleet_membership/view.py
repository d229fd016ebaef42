"""The view of the fleet that a member provides to the other components of its router."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from gossip_codec import MemberState
from sansio_core import Address


class PartitionMode(Enum):
    """The side of a possible partition that this router is on; the values appear in the log."""

    # A majority of the voters is reachable.
    WITH_MAJORITY = "with-majority"
    # No majority of the voters is reachable, but some other member is alive.
    MINORITY = "cut-off"
    # No other member is alive.
    ISOLATED = "alone"
    # No majority has answered since this router started or resumed after a pause.
    REJOINING = "rejoining"


class LinkState(Enum):
    """How a member is reached from this router; the values appear in the log."""

    # Probes are answered directly.
    DIRECT = "direct"
    # Probes are answered through other members only.
    INDIRECT = "indirect"
    # Probes are not answered directly, but the member's datagrams arrive.
    ONE_WAY = "one-way"
    # The member was suspected too often, and is shown as suspect for a hold time.
    FLAPPING = "flapping"


@dataclass(frozen=True, slots=True)
class MemberView:
    """The state of one member as known to this router."""

    name: str
    address: Address
    incarnation: int
    state: MemberState
    link: LinkState = LinkState.DIRECT


@dataclass(frozen=True, slots=True)
class MembershipView:
    """An immutable snapshot of the fleet.

    ``members`` includes this router.  ``majority_since_ms`` is the time of the last change of
    ``has_majority`` on the caller's monotonic clock.  ``local_health`` is Lifeguard's score, 0 being
    healthy: probe and suspicion timeouts are multiplied by 1 + ``local_health``.
    """

    version: int
    members: Mapping[str, MemberView]
    has_majority: bool
    majority_since_ms: float
    mode: PartitionMode
    local_health: int
