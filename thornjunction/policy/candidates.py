"""Ranks the servers of a group for an object by weighted rendezvous hashing.

Every router ranks the same list of servers in the same way, so that all of them look for an object at the
same few servers, and a server that leaves moves only its own objects.  Small groups are ranked by a score for
each server (Thaler and Ravishankar, 1998).  That costs time in the size of the group, so large groups draw
their candidates from a table instead (``CandidateGroup._draw_best``), in a time that does not grow with the
group's size.  ``docs/design/placement.md`` compares the options and gives the figures.
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

from thornjunction.estimates import MIN_WEIGHT, mix64, rendezvous_score

# Candidates of an object that are computed at once and cached.  Where a quarter of the servers is out of
# service, fewer than two of eight are usable in 1 decision of 2,600.
CANDIDATES_KEPT = 8
# Objects in the ranking cache: it takes under 2 MB, however many servers there are.
RANKINGS_KEPT = 8192
# Size of the largest group whose servers are all scored for each object.  A score takes 0.5 us, so for larger
# groups drawing from the table is cheaper.
MAX_SCORED_SERVERS = 224
# Number of servers beyond ``MAX_SCORED_SERVERS`` at which the table ranks all objects; each of these servers
# adds an equal part of the objects.
TABLE_TRANSITION = 64
# Slots of the table: one for each value of the 16-bit numbers that are drawn.
TABLE_SLOTS = 1 << 16
# Slots of each server: two need half as many draws as one.  Servers may share a slot: at 3,200 servers in a
# group 1 slot in 10 is shared.
SLOTS_PER_SERVER = 2
# Bound on the slots drawn for an object.  It is reached only if few servers outweigh all others by far.
MAX_SLOTS_DRAWN = 1 << 16
# Slots drawn in the first pass, as a multiple of the mean number that yields all candidates: so the first
# pass is usually the last.
DRAW_MARGIN = 1.5

ServerT = TypeVar("ServerT")
_SCORE_OF = itemgetter(0)
# Key of a cached ranking: a group's version, whether weights are used, the object's hash.
RankingKey = tuple[int, bool, int]


@dataclass(slots=True, eq=False)
class Member(Generic[ServerT]):
    """A server in a group, with the weight and the hash by which it is ranked."""

    server_id: str
    server: ServerT
    weight: float
    salt: int  # hash of the server's id, the same in every router

    def slots(self) -> set[int]:
        """Return the slots of the table that this server occupies."""
        return {mix64(self.salt ^ ordinal) % TABLE_SLOTS for ordinal in range(1, SLOTS_PER_SERVER + 1)}


class RankingCache:
    """Caches the best candidates of the latest objects, for all groups of one router.

    Both the objects and the candidates of each are bounded; the ranking that was added first is evicted
    first. Servers are stored by id, so that the cache keeps no server alive that has left.
    """

    def __init__(self, capacity: int = RANKINGS_KEPT) -> None:
        self.capacity = capacity
        self._best: dict[RankingKey, tuple[str, ...]] = {}
        self._versions = itertools.count()

    def __len__(self) -> int:
        return len(self._best)

    def new_version(self) -> int:
        """Return the version number for the next state of a group, which has no rankings yet."""
        return next(self._versions)

    def get(self, key: RankingKey) -> tuple[str, ...] | None:
        """Return the ids of the best candidates for an object in a version of a group, if they are cached."""
        return self._best.get(key)

    def put(self, key: RankingKey, best: tuple[str, ...]) -> None:
        """Cache the ids of the best candidates for an object; a full cache evicts its oldest ranking."""
        if len(self._best) >= self.capacity:
            del self._best[next(iter(self._best))]
        self._best[key] = best


class CandidateGroup(Generic[ServerT]):
    """Servers of one role and location, ranked for each object.

    A change of one server recomputes nothing for the others.  Only two steps take longer in a larger group:
    the insertion into a sorted list and, if all weights differ, the search for the highest weight.
    """

    def __init__(self, cache: RankingCache) -> None:
        self._cache = cache
        self._version = cache.new_version()
        self._members: dict[str, Member[ServerT]] = {}
        self._by_salt: list[Member[ServerT]] = []
        # The members on each slot; empty slots have no entry.
        self._table: dict[int, tuple[Member[ServerT], ...]] = {}
        # The number of members of each weight.
        self._weight_counts: Counter[float] = Counter()
        self._highest_weight = 0.0
        # The sum of the weights of all members.
        self.total_weight = 0.0

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[ServerT]:
        """Iterate over all servers, in the order in which they were added."""
        return (member.server for member in self._members.values())

    def members(self) -> Iterable[Member[ServerT]]:
        """Return all members, in the order in which they were added."""
        return self._members.values()

    def put(self, server_id: str, server: ServerT, weight: float) -> None:
        """Add a server, or replace one of the same id by its new process or weight."""
        existing = self._members.get(server_id)
        if existing is not None and existing.weight == weight:
            existing.server = server  # the cached rankings stay valid
            return
        if existing is not None:
            self._unindex(existing)
        member = Member(server_id, server, weight, mix64(zlib.crc32(server_id.encode())))
        self._members[server_id] = member
        insort(self._by_salt, member, key=_order_by_salt)
        for slot in member.slots():
            self._table[slot] = (*self._table.get(slot, ()), member)
        self._weight_counts[weight] += 1
        self.total_weight += weight
        self._highest_weight = max(self._weight_counts)
        self._version = self._cache.new_version()

    def remove(self, server_id: str) -> None:
        """Remove a server, if it is in the group."""
        member = self._members.pop(server_id, None)
        if member is not None:
            self._unindex(member)
            self._version = self._cache.new_version()

    def _unindex(self, member: Member[ServerT]) -> None:
        """Remove a member from all indexes."""
        del self._by_salt[bisect_left(self._by_salt, _order_by_salt(member), key=_order_by_salt)]
        for slot in member.slots():
            others = tuple(other for other in self._table[slot] if other is not member)
            if others:
                self._table[slot] = others
            else:
                del self._table[slot]
        self.total_weight -= member.weight
        self._weight_counts[member.weight] -= 1
        if not self._weight_counts[member.weight]:
            del self._weight_counts[member.weight]
        self._highest_weight = max(self._weight_counts, default=0.0)

    def candidates(self, object_hash: int, weighted: bool) -> Iterator[ServerT]:
        """Return an iterator over all servers of the group, the best candidate for the object first.

        The first ``CANDIDATES_KEPT`` are computed at once and cached, the others only if the caller iterates
        that far.  The group must not change during the iteration.
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
        """Return whether the table ranks this object.

        Each server beyond ``MAX_SCORED_SERVERS`` moves one part in ``TABLE_TRANSITION`` of the objects to the
        table. If all objects moved at one size of the group, each restart of a server at that size would give
        all objects new candidates, and then again their former ones.
        """
        return object_hash % TABLE_TRANSITION < len(self._members) - MAX_SCORED_SERVERS

    def _rank(self, object_hash: int, weighted: bool) -> list[Member[ServerT]]:
        """Return the best members first: all members of a small group, the first few of a large one."""
        if self._uses_table(object_hash):
            return self._draw_best(object_hash, weighted)
        return self._score_all(object_hash, weighted)

    def _score_all(self, object_hash: int, weighted: bool) -> list[Member[ServerT]]:
        """Return all members in the order of rendezvous hashing, the highest score first."""
        scored = [
            (rendezvous_score(object_hash, member.salt, member.weight if weighted else 1.0), member)
            for member in self._members.values()
        ]
        scored.sort(key=_SCORE_OF, reverse=True)
        return [member for _, member in scored]

    def _others(
        self, object_hash: int, weighted: bool, ranked: Sequence[Member[ServerT]]
    ) -> Iterator[ServerT]:
        """Yield the candidates after the ranked ones, which are needed only if all of these are unusable.

        In a large group they come in the order of their salts, starting at the object's hash: so the order
        differs between objects, and no scores are computed for it.
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
        """Return the first few candidates in a large group, by weighted rendezvous hashing over random draws.

        The object's hash seeds an endless sequence of slots.  The position at which a slot of a server is
        drawn first is distributed like the exponential variable of weighted rendezvous hashing: the server
        with the lowest position divided by its weight is the best candidate.  That quotient depends on the
        object and the server alone.  Once the draws exceed the last candidate's quotient times the highest
        weight, no server that was not drawn yet can be among the best.
        """
        highest_weight = max(self._highest_weight, MIN_WEIGHT) if weighted else 1.0
        mean_needed = CANDIDATES_KEPT * TABLE_SLOTS / (SLOTS_PER_SERVER * len(self._members))
        count = int(mean_needed * DRAW_MARGIN)
        while True:
            arrivals = self._arrivals(object_hash, count, weighted)
            best = nsmallest(CANDIDATES_KEPT, arrivals.values(), key=_order_by_arrival)
            complete = len(best) == CANDIDATES_KEPT and best[-1].time <= count / highest_weight
            if complete or count >= MAX_SLOTS_DRAWN:
                return [arrival.member for arrival in best]
            count = min(2 * count, MAX_SLOTS_DRAWN)

    def _arrivals(self, object_hash: int, count: int, weighted: bool) -> dict[str, _Arrival[ServerT]]:
        """Return the first arrival of each server within ``count`` draws, by server id."""
        table = self._table
        arrivals: dict[str, _Arrival[ServerT]] = {}
        occupied = [
            (position, slot) for position, slot in enumerate(_draw_slots(object_hash, count)) if slot in table
        ]
        for position, slot in occupied:
            for member in table[slot]:
                if member.server_id not in arrivals:
                    weight = max(member.weight, MIN_WEIGHT) if weighted else 1.0
                    tie_breaker = mix64(object_hash ^ member.salt)
                    arrivals[member.server_id] = _Arrival((position + 1) / weight, tie_breaker, member)
        return arrivals


@dataclass(frozen=True, slots=True)
class _Arrival(Generic[ServerT]):
    """The first draw of a server for an object; ``time`` is its position divided by the server's weight."""

    time: float
    tie_breaker: int  # hash that orders the servers of one slot
    member: Member[ServerT]


def _draw_slots(object_hash: int, count: int) -> array[int]:
    """Return the first slots of the object's sequence, which is the same in every process."""
    slots = array("H", shake_128(object_hash.to_bytes(8, "little")).digest(2 * count))
    if sys.byteorder == "big":
        slots.byteswap()
    return slots


def _order_by_salt(member: Member[ServerT]) -> tuple[int, str]:
    """Return the sort key of a member in the order of salts."""
    return member.salt, member.server_id


def _order_by_arrival(arrival: _Arrival[ServerT]) -> tuple[float, int]:
    """Return the sort key of an arrival; the best candidate has the smallest."""
    return arrival.time, arrival.tie_breaker
