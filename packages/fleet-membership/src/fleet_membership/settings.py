"""The settings of a member."""

from __future__ import annotations

from dataclasses import dataclass, field

from gossip_codec import pack_address
from sansio_core import Address


class InvalidSettingError(ValueError):
    """A setting is out of range or contradicts another one; the message starts with its name."""

    def __init__(self, setting: str, problem: str) -> None:
        super().__init__(f"{setting} {problem}")
        self.setting = setting


@dataclass(frozen=True)
class MembershipSettings:
    """The identity of this member, the members it contacts, and its timeouts in ms.

    The names of the fields after ``incarnation`` are the keys of the operators' settings (docs/FLEET.md).

    - ``incarnation`` must be higher at each start under the same name (such as Unix ms); if a peer knows a
      higher one, the member takes one above that.
    - ``voters``: names whose majority forms the quorum; ``seeds``: addresses that are contacted first.
    - ``indirect``: how many members are asked for an indirect probe.
    - ``suspicion_most_ms`` is the suspicion timeout without confirmations, ``suspicion_least_ms`` that with
      enough; both are multiplied by log10 of the members (at least 1) and the local health multiplier.
    - ``rejoin_ms``: time that the voters have to answer after a start or a pause.
    - ``tombstone_ms``: how long a member that failed or left stays in the table.
    - ``pause_ms``: lateness of a timer that counts as a pause of this process; a pause longer than
      ``probe_every_ms`` also ends its majority until the voters answer again.
    - ``retransmit``: an update is sent this many times log10(members + 1).
    - ``members_most``: maximum number of members in the table.
    - A member suspected more than ``flaps_most`` times within ``flap_window_ms`` is flapping: it is shown as
      suspect for ``flap_hold_ms``, doubled each further time up to ``flap_hold_most_ms``.

    Raises InvalidSettingError, or another ValueError for an address.
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
            raise InvalidSettingError("voters", "must not be empty or have duplicates")
        if not 0 < self.probe_timeout_ms < self.probe_every_ms:
            raise InvalidSettingError("probe_timeout_ms", "must be above 0 and below probe_every_ms")
        if not 0 < self.suspicion_least_ms <= self.suspicion_most_ms:
            raise InvalidSettingError("suspicion_least_ms", "must be above 0 and at most suspicion_most_ms")
        if self.incarnation < 0:
            raise InvalidSettingError("incarnation", "must not be negative")
        if self.indirect < 0:
            raise InvalidSettingError("indirect", "must not be negative")
        if self.sync_every_ms <= 0:
            raise InvalidSettingError("sync_every_ms", "must be above 0")
