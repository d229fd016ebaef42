"""Which servers of a group are the candidates for an object: weighted rendezvous hashing, lazily drawn.

Every router ranks the same list of servers in the same way, so that all of them look for an object at the
same few servers, and a server that leaves moves its own objects only.  Small groups are ranked by a score for
each server (Thaler and Ravishankar, 1998).  That costs time in the size of the group, so large groups draw
their candidates from a table instead (``CandidateGroup._draw_best``), in a time that does not grow with the
group.  ``docs/design/placement.md`` compares the options and gives the figures.
"""

from __future__ import annotations

import itertools
import sys
import zlib
from array import array
from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from hashlib import shake_128
from heapq import nsmallest
from operator import itemgetter
from typing import Generic, TypeVar

from thornjunction.estimates import mix64, rendezvous_score

# Candidates of each object that are computed at once.  Where a quarter of the servers is out of service,
# fewer than two of eight are usable in 1 decision of 2,600.
CANDIDATES_KEPT = 8
# Objects in the ranking cache: under 2 MB, however many servers there are.
RANKINGS_KEPT = 8192
# Servers of a group that are all scored.  At 0.5 us a score, drawing from the table is cheaper beyond.
MAX_SCORED_SERVERS = 224
# Servers beyond ``MAX_SCORED_SERVERS`` over which the objects go over to the table, an equal part by each.
TABLE_BLEND = 64
# One slot for each 16-bit number that is drawn.
TABLE_SLOTS = 1 << 16
# Two slots a server halve the draws.  Servers on one slot share it: 1 slot in 10 at 3,200 servers in a group.
SLOTS_PER_SERVER = 2
# Slots drawn for an object at most.  It is reached only where few servers outweigh all others by far.
MAX_SLOTS_DRAWN = 1 << 16
# Slots drawn over those that hold the candidates in the mean: mostly, the first pass finds them all.
DRAW_MARGIN = 1.5
# In place of a weight of zero.
MIN_WEIGHT = 1e-9

ServerT = TypeVar("ServerT")
_SCORE_OF = itemgetter(0)
RankingKey = tuple[int, bool, int]  # a group's version, whether weights count, the object's hash


@dataclass(slots=True, eq=False)
class Member(Generic[ServerT]):
    """A server in a group, with what its rankings need."""

    server_id: str
    server: ServerT
    weight: float
    salt: int  # of the server's id, the same in every router

    def slots(self) -> set[int]:
        """Its places in the table."""
        return {mix64(self.salt ^ ordinal) % TABLE_SLOTS for ordinal in range(1, SLOTS_PER_SERVER + 1)}


class RankingCache:
    """The best candidates of the objects that were asked for last, of all groups.

    Bounded in objects and in candidates of each; the oldest goes first.  Servers are kept by their ids, so
    that one that has left is not kept alive here.
    """

    def __init__(self, capacity: int = RANKINGS_KEPT) -> None:
        self.capacity = capacity
        self._best: dict[RankingKey, tuple[str, ...]] = {}
        self._versions = itertools.count()

    def __len__(self) -> int:
        return len(self._best)

    def new_version(self) -> int:
        """A number for the next state of a group; rankings of its earlier states are found no more."""
        return next(self._versions)

    def get(self, key: RankingKey) -> tuple[str, ...] | None:
        """The best candidates for an object in one state of a group, if they are still known."""
        return self._best.get(key)

    def put(self, key: RankingKey, best: tuple[str, ...]) -> None:
        """Keep the best candidates for an object, in place of the oldest ones where the cache is full."""
        if len(self._best) >= self.capacity:
            del self._best[next(iter(self._best))]
        self._best[key] = best


class CandidateGroup(Generic[ServerT]):
    """Servers of one role and place, ranked for each object.

    A change of one server computes nothing for the others; all that grows with the group is a move within one
    sorted array, and where all weights differ, the search for the heaviest.
    """

    def __init__(self, cache: RankingCache) -> None:
        self._cache = cache
        self._version = cache.new_version()
        self._members: dict[str, Member[ServerT]] = {}
        self._by_salt: list[Member[ServerT]] = []
        self._table: dict[int, tuple[Member[ServerT], ...]] = {}  # by slot
        self._weights: Counter[float] = Counter()  # members by weight
        self._heaviest = 0.0

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[ServerT]:
        """All servers, in the order in which they were added."""
        return (member.server for member in self._members.values())

    def members(self) -> Iterable[Member[ServerT]]:
        """All members, in the order in which they were added."""
        return self._members.values()

    def put(self, server_id: str, server: ServerT, weight: float) -> None:
        """Add a server, or take in its new weight, or its new process."""
        known = self._members.get(server_id)
        if known is not None and known.weight == weight:
            known.server = server  # the rankings stay as they are
            return
        if known is not None:
            self._unindex(known)
        member = Member(server_id, server, weight, mix64(zlib.crc32(server_id.encode())))
        self._members[server_id] = member
        insort(self._by_salt, member, key=_order_by_salt)
        for slot in member.slots():
            self._table[slot] = (*self._table.get(slot, ()), member)
        self._weights[weight] += 1
        self._heaviest = max(self._weights)
        self._version = self._cache.new_version()

    def remove(self, server_id: str) -> None:
        """Forget a server, if it is known."""
        member = self._members.pop(server_id, None)
        if member is not None:
            self._unindex(member)
            self._version = self._cache.new_version()

    def _unindex(self, member: Member[ServerT]) -> None:
        """Take a member out of all indexes."""
        del self._by_salt[bisect_left(self._by_salt, _order_by_salt(member), key=_order_by_salt)]
        for slot in member.slots():
            others = tuple(other for other in self._table[slot] if other is not member)
            if others:
                self._table[slot] = others
            else:
                del self._table[slot]
        self._weights[member.weight] -= 1
        if not self._weights[member.weight]:
            del self._weights[member.weight]
        self._heaviest = max(self._weights, default=0.0)

    def candidates(self, object_hash: int, weighted: bool) -> Iterator[ServerT]:
        """All servers of the group, the best candidate for the object first.

        The first ones are computed at once and kept.  The others follow only where they are asked for.  Don't
        change the group while it is being iterated over.
        """
        key = (self._version, weighted, object_hash)
        best = self._cache.get(key)
        if best is None:
            ranked = self._rank(object_hash, weighted)
            best = tuple([member.server_id for member in ranked[:CANDIDATES_KEPT]])
            self._cache.put(key, best)
        else:
            ranked = [self._members[server_id] for server_id in best]
        first = [member.server for member in ranked]
        return itertools.chain(first, self._others(object_hash, weighted, ranked))

    def _uses_table(self, object_hash: int) -> bool:
        """Whether the table ranks this object.

        Of a group that grows past ``MAX_SCORED_SERVERS`` servers, each further server hands one part in
        ``TABLE_BLEND`` of the objects over to the table.  If all were handed over at one size, each restart
        of a server at that size would move all objects twice.
        """
        return object_hash % TABLE_BLEND < len(self._members) - MAX_SCORED_SERVERS

    def _rank(self, object_hash: int, weighted: bool) -> list[Member[ServerT]]:
        """The best members first: all of a small group, and the first few of a large one."""
        if self._uses_table(object_hash):
            return self._draw_best(object_hash, weighted)
        return self._score_all(object_hash, weighted)

    def _score_all(self, object_hash: int, weighted: bool) -> list[Member[ServerT]]:
        """All members in the order of exact rendezvous hashing: the highest score first."""
        scored = [
            (rendezvous_score(object_hash, member.salt, member.weight if weighted else 1.0), member)
            for member in self._members.values()
        ]
        scored.sort(key=_SCORE_OF, reverse=True)
        return [member for _, member in scored]

    def _others(
        self, object_hash: int, weighted: bool, ranked: Sequence[Member[ServerT]]
    ) -> Iterator[ServerT]:
        """The candidates after those ranked: needed only where all of these are unusable.

        In a large group they follow in the order of their salts, from a place that the object's hash gives:
        each object has others first, and none is computed before it is asked for.
        """
        if len(ranked) == len(self._members):
            return
        if not self._uses_table(object_hash):
            for member in self._score_all(object_hash, weighted)[len(ranked) :]:
                yield member.server
            return
        seen = {member.server_id for member in ranked}
        start = bisect_left(self._by_salt, (object_hash, ""), key=_order_by_salt)
        for member in itertools.chain(self._by_salt[start:], self._by_salt[:start]):
            if member.server_id not in seen:
                yield member.server

    def _draw_best(self, object_hash: int, weighted: bool) -> list[Member[ServerT]]:
        """The first few candidates in a large group, by weighted rendezvous over random draws.

        The object's hash seeds an endless row of slots.  The place of a server's slot in that row, the first
        time it comes up, is distributed as the exponential variable of weighted rendezvous; divided by the
        server's weight, the least is the best candidate.  It depends on the object and that server alone.  No
        server that comes up later than the heaviest one's weight allows can be among the best any more.
        """
        heaviest = max(self._heaviest, MIN_WEIGHT) if weighted else 1.0
        needed = CANDIDATES_KEPT * TABLE_SLOTS / (SLOTS_PER_SERVER * len(self._members))
        count = int(needed * DRAW_MARGIN)
        while True:
            arrivals = self._arrivals(object_hash, count, weighted)
            best = nsmallest(CANDIDATES_KEPT, arrivals.values(), key=_order_by_arrival)
            complete = len(best) == CANDIDATES_KEPT and best[-1].time <= count / heaviest
            if complete or count >= MAX_SLOTS_DRAWN:
                return [arrival.member for arrival in best]
            count = min(2 * count, MAX_SLOTS_DRAWN)

    def _arrivals(self, object_hash: int, count: int, weighted: bool) -> dict[str, _Arrival[ServerT]]:
        """The first arrival of each server that comes up in so many draws, by server."""
        table = self._table
        arrivals: dict[str, _Arrival[ServerT]] = {}
        hits = [(at, slot) for at, slot in enumerate(_draw_slots(object_hash, count)) if slot in table]
        for at, slot in hits:
            for member in table[slot]:
                if member.server_id not in arrivals:
                    weight = max(member.weight, MIN_WEIGHT) if weighted else 1.0
                    tie = mix64(object_hash ^ member.salt)
                    arrivals[member.server_id] = _Arrival((at + 1) / weight, tie, member)
        return arrivals


@dataclass(frozen=True, slots=True)
class _Arrival(Generic[ServerT]):
    """When a server first came up in an object's draws, over its weight."""

    time: float
    tie: int  # decides between servers on one slot
    member: Member[ServerT]


def _draw_slots(object_hash: int, count: int) -> array[int]:
    """The first slots of the object's row: the same in every process, and a longer row begins alike."""
    slots = array("H", shake_128(object_hash.to_bytes(8, "little")).digest(2 * count))
    if sys.byteorder == "big":
        slots.byteswap()
    return slots


def _order_by_salt(member: Member[ServerT]) -> tuple[int, str]:
    return member.salt, member.server_id


def _order_by_arrival(arrival: _Arrival[ServerT]) -> tuple[float, int]:
    return arrival.time, arrival.tie
