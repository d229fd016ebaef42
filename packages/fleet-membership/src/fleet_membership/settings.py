"""What a member is told at its start."""

from __future__ import annotations

from dataclasses import dataclass, field

from gossip_codec import pack_address
from sansio_core import Address


@dataclass(frozen=True)
class MembershipSettings:
    """``incarnation`` has to be higher at each start under the same name (Unix ms will do); where a peer
    knows a higher one, the member takes one above it.  ``voters`` are names; ``seeds`` are asked first.

    Times are in ms.  A suspicion lasts ``suspicion_most_ms`` without and ``suspicion_least_ms`` with enough
    confirmations, both times log10 of the members (1 at least) and the local health; a tombstone is kept for
    ``tombstone_ms`` after its member failed or left.  A timer later than ``pause_ms`` is a pause of this
    process; one later than ``probe_every_ms`` ends what it held for sure.  A member suspected more than
    ``flaps_most`` times within ``flap_window_ms`` flaps, and is held as suspect for ``flap_hold_ms``, doubled
    with each further time up to ``flap_hold_most_ms``.  Raises ValueError.
    """

    name: str
    address: Address
    fleet: str
    secret: bytes = field(repr=False)
    seeds: tuple[Address, ...]
    voters: tuple[str, ...]
    incarnation: int
    probe_every_ms: float = 1000.0
    probe_timeout_ms: float = 300.0
    indirect: int = 3
    suspicion_least_ms: float = 3000.0
    suspicion_most_ms: float = 12_000.0
    sync_every_ms: float = 10_000.0
    rejoin_ms: float = 5000.0
    tombstone_ms: float = 600_000.0
    pause_ms: float = 150.0
    retransmit: float = 4.0
    members_most: int = 4096
    flaps_most: int = 3
    flap_window_ms: float = 60_000.0
    flap_hold_ms: float = 5000.0
    flap_hold_most_ms: float = 60_000.0

    def __post_init__(self) -> None:
        for address in (self.address, *self.seeds):
            pack_address(address)
        if not self.voters or len(set(self.voters)) < len(self.voters):
            raise ValueError("a fleet needs voters, each named once")
        if not 0 < self.probe_timeout_ms < self.probe_every_ms:
            raise ValueError("probe_timeout_ms must be above 0 and below probe_every_ms")
        if not 0 < self.suspicion_least_ms <= self.suspicion_most_ms:
            raise ValueError("suspicion_least_ms must be above 0 and at most suspicion_most_ms")
        if self.incarnation < 0 or self.indirect < 0 or self.sync_every_ms <= 0:
            raise ValueError("incarnation and indirect must not be negative, sync_every_ms above 0")
