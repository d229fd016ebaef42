"""The member table: who is known, in which state, and the digests by which two tables are compared.

Of two claims on a member the one with the higher (incarnation, state) holds, with the states in the order
alive, suspect, failed, left.  So the tables of routers that heard the same claims agree, whatever the order.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from hashlib import blake2b
from zlib import crc32

from gossip_codec import DIGEST_BUCKETS, DIGEST_BYTES, MemberState, Update, unpack_address

from fleet_membership.view import Link, MemberView

LIVE = (MemberState.ALIVE, MemberState.SUSPECT)


@dataclass(slots=True)
class Member:
    """Times in ms; ``heard`` when it last wrote itself, ``held`` until when it is shown as suspect for
    flapping; ``missed`` direct probes in a row, the first of them sent at ``missing``; ``flaps`` when it was
    suspected."""

    update: Update
    changed: float
    heard: float = float("-inf")
    held: float = float("-inf")
    missed: int = 0
    missing: float = float("inf")
    link: Link = Link.DIRECT
    flaps: deque[float] = field(default_factory=lambda: deque(maxlen=16))

    @property
    def state(self) -> MemberState:
        return self.update.state

    def shown(self, now: float) -> MemberState:
        """The state that others are shown."""
        return MemberState.SUSPECT if self.state is MemberState.ALIVE and now < self.held else self.state

    def view(self, now: float) -> MemberView:
        update, link = self.update, Link.FLAPPING if now < self.held else self.link
        return MemberView(
            update.name, unpack_address(update.address), update.incarnation, self.shown(now), link
        )


def bucket_of(name: str) -> int:
    return crc32(name.encode()) % DIGEST_BUCKETS


class Table:
    """``version`` grows with each change that others can see."""

    def __init__(self, own: Update, most: int) -> None:
        self.name = own.name
        self.version = 0
        self._most = most
        self._members = {own.name: Member(own, 0.0)}
        self._sums = [0] * DIGEST_BUCKETS
        self._live = 0
        self._count(own, 1)

    def __len__(self) -> int:
        return len(self._members)

    def get(self, name: str) -> Member | None:
        return self._members.get(name)

    @property
    def own(self) -> Update:
        return self._members[self.name].update

    def members(self) -> Iterator[Member]:
        return iter(self._members.values())

    def others(self, *states: MemberState) -> list[Member]:
        """Members but this router, in one of the states."""
        return [m for m in self._members.values() if m.state in states and m.update.name != self.name]

    def touch(self) -> None:
        """Something that others can see has changed besides the claims."""
        self.version += 1

    def live(self) -> int:
        return self._live

    def take(self, now: float, update: Update) -> Member | None:
        """The member, where the claim changes the table.  Nobody is known only as failed or left."""
        member = self._members.get(update.name)
        if member is None:
            if update.state not in LIVE or len(self._members) >= self._most:
                return None
            member = self._members[update.name] = Member(update, now)
            self._count(update, 1)
        else:
            known = member.update
            if (update.incarnation, update.state) <= (known.incarnation, known.state):
                return None
            self._count(known, -1)
            self._count(update, 1)
            member.update, member.changed = update, now
        self.version += 1
        return member

    def sweep(self, before: float) -> None:
        """Drop the failed and left that have been so since ``before``."""
        for member in self.others(MemberState.FAILED, MemberState.LEFT):
            if member.changed < before:
                del self._members[member.update.name]
                self.version += 1

    def digests(self) -> bytes:
        """Of the live members' names and incarnations, by bucket: suspicions come and go, tombstones expire
        at each router's own time, and neither shall set off an exchange."""
        return b"".join(one.to_bytes(DIGEST_BYTES, "big") for one in self._sums)

    def differing(self, digests: bytes) -> list[Update]:
        """All that is known of the buckets that differ."""
        own = self.digests()
        cuts = [slice(at * DIGEST_BYTES, (at + 1) * DIGEST_BYTES) for at in range(DIGEST_BUCKETS)]
        apart = {at for at, cut in enumerate(cuts) if own[cut] != digests[cut]}
        return [m.update for m in self._members.values() if bucket_of(m.update.name) in apart]

    def _count(self, update: Update, by: int) -> None:
        """Add a live member to the number and the digests of the live, or take it out again."""
        if update.state in LIVE:
            self._live += by
            text = f"{update.name} {update.incarnation}".encode()
            digest = blake2b(text, digest_size=DIGEST_BYTES).digest()
            self._sums[bucket_of(update.name)] ^= int.from_bytes(digest, "big")
