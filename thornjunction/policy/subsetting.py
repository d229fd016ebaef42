"""Deterministic subsetting of a large site: a router prefers one block of its caches.

A router sends a few dozen requests a second. Spread by hash over a thousand caches, few of them could reuse a
connection. So the caches of a large site are divided into blocks by a hash of their ids, and a router ranks
those of its own block first (Beyer et al., Site Reliability Engineering, 2016, chapter 20). The other blocks
follow if its own has no cache that may take a request. Each object then has a first choice in every
block, so the site keeps up to that many copies of it. ``docs/design/placement.md`` compares the options.
"""

from __future__ import annotations

import itertools
import zlib
from collections.abc import Iterator
from typing import Generic, TypeVar

from thornjunction.estimates import mix64
from thornjunction.policy.candidates import CandidateGroup, RankingCache

# Caches of the largest site that is not divided: a router's connection table has no room for more.
MAX_UNDIVIDED = 200
# Bound on the caches of a block: ``MIN_BLOCK_BOUND``, and one more for each
# ``SITE_SERVERS_PER_BLOCK_SERVER`` caches of the site, but not over ``MAX_UNDIVIDED``.
MIN_BLOCK_BOUND = 40
# Caches of a site for each of which the bound of its blocks rises by one.
SITE_SERVERS_PER_BLOCK_SERVER = 8
# A shrinking site keeps its number of blocks as long as a site this many times its size would need it.
SHRINK_MARGIN = 1.25
# Minimum of routers per block, on average: with fewer, some block might have no router, and its caches no
# load.
MIN_ROUTERS_PER_BLOCK = 2
# Digits of the number at the end of a router's name; the module ``string`` is slow to import.
DIGITS = "0123456789"
# Digits at the end of a router's name that are read as its number, at most.
ORDINAL_DIGITS = 18
# Number of values of a 64-bit hash.
HASH_VALUES = 1 << 64
# 2**64 divided by the golden ratio, for Fibonacci hashing: its multiples are spread evenly.
GOLDEN_RATIO_64 = 0x9E3779B97F4A7C15

ServerT = TypeVar("ServerT")


def router_hash(name: str, seed: int) -> int:
    """Return a stable 64-bit hash of a router's name, or of its seed if it has no name.

    Routers whose names differ only in a trailing number (``edge-7``) are spread evenly over all values, by
    Fibonacci hashing of that number: so each block is preferred by as many routers as any other. Names that
    differ otherwise are spread at random.
    """
    if not name:
        return mix64(seed)
    prefix = name.rstrip(DIGITS)
    ordinal = int(name[len(prefix) :][-ORDINAL_DIGITS:] or 0)
    return (mix64(zlib.crc32(prefix.encode())) + ordinal * GOLDEN_RATIO_64) % HASH_VALUES


def block_count(servers: int, routers: int, current: int) -> int:
    """Return the number of blocks for a site of this many caches and routers: a power of two.

    ``current`` is the present number. It gives hysteresis, so that the restart of one cache does not change
    the number back and forth.
    """
    required = _fewest_blocks(servers)
    if required < current:
        required = min(_fewest_blocks(servers * SHRINK_MARGIN), current)
    while required > 1 and routers < MIN_ROUTERS_PER_BLOCK * required:
        required //= 2
    return required


def _fewest_blocks(servers: float) -> int:
    """Return the lowest number of blocks, a power of two, that keeps each block within its bound."""
    if servers <= MAX_UNDIVIDED:
        return 1
    max_block_servers = min(MIN_BLOCK_BOUND + servers / SITE_SERVERS_PER_BLOCK_SERVER, MAX_UNDIVIDED)
    blocks = 1
    while servers > max_block_servers * blocks:
        blocks *= 2
    return blocks


class SiteCaches(Generic[ServerT]):
    """The caches of one site, divided into one or more blocks."""

    def __init__(self, cache: RankingCache) -> None:
        self._cache = cache
        self._blocks = [CandidateGroup[ServerT](cache)]

    def __len__(self) -> int:
        return sum(map(len, self._blocks))

    def __iter__(self) -> Iterator[ServerT]:
        """Iterate over all caches, block by block."""
        return itertools.chain.from_iterable(self._blocks)

    @property
    def block_count(self) -> int:
        """The number of blocks; 1 in a site that is not divided."""
        return len(self._blocks)

    @property
    def total_weight(self) -> float:
        """The sum of the weights of all caches."""
        return sum(block.total_weight for block in self._blocks)

    def put(self, server_id: str, server: ServerT, weight: float) -> None:
        """Add a cache, or replace one of the same id by its new process or weight."""
        self._block_of(server_id).put(server_id, server, weight)

    def remove(self, server_id: str) -> None:
        """Remove a cache, if it is in the site."""
        self._block_of(server_id).remove(server_id)

    def divide(self, routers: int) -> None:
        """Change the number of blocks if the numbers of caches and routers require another.

        A higher number splits each block, so that a router's new block is a part of its former one.
        """
        count = block_count(len(self), routers, self.block_count)
        if count == self.block_count:
            return
        members = [member for block in self._blocks for member in block.members()]
        self._blocks = [CandidateGroup(self._cache) for _ in range(count)]
        for member in members:
            self.put(member.server_id, member.server, member.weight)

    def candidates(
        self, object_hash: int, weighted: bool, block_order_hash: int, skipped_blocks: int = 0
    ) -> Iterator[ServerT]:
        """Return an iterator over the caches, block by block, the best candidate of each block first.

        ``block_order_hash`` gives the order of the blocks, of which the first ``skipped_blocks`` are left
        out. A block is ranked only when the iteration reaches it.
        """
        blocks = self._blocks_for(block_order_hash)[skipped_blocks:]
        if len(blocks) == 1:
            return blocks[0].candidates(object_hash, weighted)
        return itertools.chain.from_iterable(block.candidates(object_hash, weighted) for block in blocks)

    def _block_of(self, server_id: str) -> CandidateGroup[ServerT]:
        """Return the block that a cache belongs to, which is the same in every router."""
        return self._blocks[self._block_index(mix64(zlib.crc32(server_id.encode())))]

    def _block_index(self, hash_value: int) -> int:
        """Return a block by the highest bits of a 64-bit hash: twice as many blocks split each one in two."""
        return hash_value * self.block_count >> 64

    def _blocks_for(self, block_order_hash: int) -> list[CandidateGroup[ServerT]]:
        """Return all blocks in the order that a hash of the router or object gives.

        Routers that prefer the same block differ in their second one, so that no block gets all the load that
        another one cannot take.
        """
        count = self.block_count
        if count == 1:
            return self._blocks
        first = self._block_index(block_order_hash)
        offsets = [1 + (block_order_hash + step) % (count - 1) for step in range(count - 1)]
        return [self._blocks[first], *(self._blocks[(first + offset) % count] for offset in offsets)]
