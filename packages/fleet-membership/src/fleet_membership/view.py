"""What others see of the fleet through one router."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from gossip_codec import MemberState
from sansio_core import Address


class Mode(Enum):
    """How this router stands with the voters."""

    WITH_MAJORITY = "with-majority"
    CUT_OFF = "cut-off"  # no majority, but some other member
    ALONE = "alone"  # no majority and nobody else
    REJOINING = "rejoining"  # started, or was paused, and no majority has answered since


class Link(Enum):
    """How the member is reached from here."""

    DIRECT = "direct"
    INDIRECT = "indirect"  # it answers through others alone
    ONE_WAY = "one-way"  # heard from, but our probes to it are not answered
    FLAPPING = "flapping"  # suspected too often; held as suspect


@dataclass(frozen=True)
class MemberView:
    name: str
    address: Address
    incarnation: int
    state: MemberState
    link: Link = Link.DIRECT


@dataclass(frozen=True)
class View:
    """``since_ms``: when ``majority`` last changed, on the clock of ``now``.  ``health``: 0 is well; probes
    and suspicions of this router take 1 + ``health`` times their time.  ``members`` has this router too."""

    version: int
    members: Mapping[str, MemberView]
    majority: bool
    since_ms: float
    mode: Mode
    health: int
