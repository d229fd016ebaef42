"""The member table: the known members with their states, and digests for comparing two tables.

Of two claims about a member the one with the higher (incarnation, state) prevails; states are ordered alive,
suspect, failed, left.  So the tables of routers that received the same claims agree, whatever the order in
which the claims arrived.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from hashlib import blake2b
from zlib import crc32

from gossip_codec import DIGEST_BUCKETS, DIGEST_BYTES, MemberState, Update, unpack_address

from fleet_membership.view import LinkState, MemberView

# States of members that are probed.
LIVE_STATES = (MemberState.ALIVE, MemberState.SUSPECT)

# States of members that are kept as tombstones.
DEAD_STATES = (MemberState.FAILED, MemberState.LEFT)

# Maximum number of suspicion times that are kept to detect a flapping member.
MAX_SUSPECTED_TIMES = 16

# The time of an event that has not happened.
NEVER = float("-inf")


@dataclass(slots=True)
class Member:
    """The newest claim about a member and this router's observations of it; times in ms.

    ``missed_probes`` counts consecutive direct probes that it did not answer, the first of them sent at
    ``first_missed_ms``; ``suspected_at_ms`` holds the times of its recent suspicions.
    """

    update: Update
    changed_ms: float
    last_heard_ms: float = NEVER
    flap_hold_until_ms: float = NEVER
    missed_probes: int = 0
    first_missed_ms: float = float("inf")
    link: LinkState = LinkState.DIRECT
    suspected_at_ms: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_SUSPECTED_TIMES))

    @property
    def state(self) -> MemberState:
        """The claimed state."""
        return self.update.state

    @property
    def is_live(self) -> bool:
        """Whether the member is alive or suspect."""
        return self.update.state in LIVE_STATES

    def visible_state(self, now: float) -> MemberState:
        """Return the state shown to other components: an alive member is shown as suspect while it flaps."""
        if self.state is MemberState.ALIVE and now < self.flap_hold_until_ms:
            return MemberState.SUSPECT
        return self.state

    def view(self, now: float) -> MemberView:
        """Return the snapshot of the member that other components see."""
        link = LinkState.FLAPPING if now < self.flap_hold_until_ms else self.link
        address = unpack_address(self.update.address)
        return MemberView(self.update.name, address, self.update.incarnation, self.visible_state(now), link)


def _bucket_of(name: str) -> int:
    return crc32(name.encode()) % DIGEST_BUCKETS


def _digest_of(update: Update) -> int:
    text = f"{update.name} {update.incarnation}".encode()
    return int.from_bytes(blake2b(text, digest_size=DIGEST_BYTES).digest(), "big")


class MemberTable:
    """The known members; ``version`` increases with each change that is visible in a view."""

    def __init__(self, local_update: Update, max_members: int) -> None:
        self.name = local_update.name
        self.version = 0
        self.live_count = 0
        self._max_members = max_members
        self._members = {local_update.name: Member(local_update, 0.0)}
        self._digests = [0] * DIGEST_BUCKETS
        self._include(local_update)

    def get(self, name: str) -> Member | None:
        """Return a member, or None if it is unknown."""
        return self._members.get(name)

    @property
    def local_update(self) -> Update:
        """This router's claim about itself."""
        return self._members[self.name].update

    def members(self) -> Iterator[Member]:
        """Iterate over all members, this router included."""
        return iter(self._members.values())

    def others(self, *states: MemberState) -> list[Member]:
        """Return the members in one of the states, except this router."""
        return [m for m in self._members.values() if m.state in states and m.update.name != self.name]

    def bump_version(self) -> None:
        """Record a change that is visible in a view but is not a change of a claim."""
        self.version += 1

    def apply(self, now: float, update: Update) -> bool:
        """Apply a claim; return whether it changed the table.

        Outdated claims are ignored; so is a claim about an unknown member if it failed or left, or if the
        table is full.
        """
        member = self._members.get(update.name)
        if member is None:
            if update.state not in LIVE_STATES or len(self._members) >= self._max_members:
                return False
            self._members[update.name] = Member(update, now)
        else:
            known = member.update
            if (update.incarnation, update.state) <= (known.incarnation, known.state):
                return False
            self._exclude(known)
            member.update = update
            member.changed_ms = now
        self._include(update)
        self.version += 1
        return True

    def drop_tombstones(self, before_ms: float) -> None:
        """Forget the members that failed or left before ``before_ms``."""
        for member in self.others(*DEAD_STATES):
            if member.changed_ms < before_ms:
                del self._members[member.update.name]
                self.version += 1

    def digests(self) -> bytes:
        """Return the digests of the live members' names and incarnations by bucket.

        They exclude suspicions, which are short-lived, and tombstones, which each router drops at a time of
        its own: a difference in these must not cause an exchange.
        """
        return b"".join(digest.to_bytes(DIGEST_BYTES, "big") for digest in self._digests)

    def differing_claims(self, digests: bytes) -> list[Update]:
        """Return all claims in the buckets whose digests differ from a peer's ``digests``."""
        local_digests = self.digests()
        differing_buckets = set()
        for bucket in range(DIGEST_BUCKETS):
            part = slice(bucket * DIGEST_BYTES, (bucket + 1) * DIGEST_BYTES)
            if local_digests[part] != digests[part]:
                differing_buckets.add(bucket)
        return [m.update for m in self._members.values() if _bucket_of(m.update.name) in differing_buckets]

    def _include(self, update: Update) -> None:
        """Add a live member to the count and the digests."""
        if update.state in LIVE_STATES:
            self.live_count += 1
            self._digests[_bucket_of(update.name)] ^= _digest_of(update)

    def _exclude(self, update: Update) -> None:
        """Remove a live member from the count and the digests."""
        if update.state in LIVE_STATES:
            self.live_count -= 1
            self._digests[_bucket_of(update.name)] ^= _digest_of(update)
