"""Deterministic subsetting of a large site: a router asks one block of its caches before all others.

A router sends a few dozen requests a second. Hashed over a thousand caches, hardly two of them meet on one
connection. So the caches of a large site are divided into blocks by a hash of their ids, and a router ranks
those of its own block first (Beyer et al., Site Reliability Engineering, 2016, chapter 20). The other blocks
follow where its own has no cache that may take a request. Each object then has a first choice in every
block: so many copies of it are kept. ``docs/design/placement.md`` compares the options.
"""

from __future__ import annotations

import itertools
import zlib
from collections.abc import Iterator
from typing import Generic, TypeVar

from thornjunction.estimates import mix64
from thornjunction.policy.candidates import CandidateGroup, RankingCache

# Caches of a site that is not divided. Above it, a router's table of connections would not hold all of them.
MAX_UNDIVIDED = 200
# Caches of a block at most: so many, and one more for so many of the site, but never over the first figure.
BLOCK_BASE = 40
SITE_SERVERS_PER_BLOCK_SERVER = 8
# A site that shrinks keeps its blocks until it would have fewer of them at this multiple of its size as well.
SHRINK_MARGIN = 1.25
# Routers that ask a block in the mean, at least: of few, some block would have none, and its caches idle.
MIN_ROUTERS_PER_BLOCK = 2
# Digits of a number at the end of a router's name; the module ``string`` is slow to import.
DIGITS = "0123456789"
# Last digits of a router's name that count as its number.
ORDINAL_DIGITS = 18
HASH_VALUES = 1 << 64
# 2**64 over the golden ratio: any run of its multiples, also of every second or third one, is spread evenly.
GOLDEN_RATIO_64 = 0x9E3779B97F4A7C15

ServerT = TypeVar("ServerT")


def router_hash(name: str, seed: int) -> int:
    """Return a stable 64-bit hash that tells a router from others: of its name, or else of its seed.

    Routers whose names differ in a last number only (``edge-7``) are spread evenly over all values, by
    Fibonacci hashing of that number: so each block is asked by as many routers as any other. Names that
    differ otherwise are spread at random.
    """
    if not name:
        return mix64(seed)
    prefix = name.rstrip(DIGITS)
    ordinal = int(name[len(prefix) :][-ORDINAL_DIGITS:] or 0)
    return (mix64(zlib.crc32(prefix.encode())) + ordinal * GOLDEN_RATIO_64) % HASH_VALUES


def block_count(servers: int, routers: int, current: int) -> int:
    """Return the number of blocks for a site with so many caches and routers: a power of two.

    ``current`` is the number that it has now. It matters near a boundary: a cache that restarts there must
    not divide the site anew.
    """
    wanted = _fewest_blocks(servers)
    if wanted < current:
        wanted = min(_fewest_blocks(servers * SHRINK_MARGIN), current)
    while wanted > 1 and routers < MIN_ROUTERS_PER_BLOCK * wanted:
        wanted //= 2
    return wanted


def _fewest_blocks(servers: float) -> int:
    """Return the least power of two that divides so many caches into blocks that are not too large."""
    if servers <= MAX_UNDIVIDED:
        return 1
    block_most = min(BLOCK_BASE + servers / SITE_SERVERS_PER_BLOCK_SERVER, MAX_UNDIVIDED)
    blocks = 1
    while servers > block_most * blocks:
        blocks *= 2
    return blocks


class SiteCaches(Generic[ServerT]):
    """The caches of one site, in one block or several."""

    def __init__(self, cache: RankingCache) -> None:
        self._cache = cache
        self._blocks = [CandidateGroup[ServerT](cache)]

    def __len__(self) -> int:
        return sum(map(len, self._blocks))

    def __iter__(self) -> Iterator[ServerT]:
        """All caches, block by block."""
        return itertools.chain.from_iterable(self._blocks)

    @property
    def block_count(self) -> int:
        """The number of blocks; 1 in a site that is not divided."""
        return len(self._blocks)

    def put(self, server_id: str, server: ServerT, weight: float) -> None:
        """Add a cache, or take in its new weight, or its new process."""
        self._block_of(server_id).put(server_id, server, weight)

    def remove(self, server_id: str) -> None:
        """Forget a cache, if it is known."""
        self._block_of(server_id).remove(server_id)

    def divide(self, routers: int) -> None:
        """Divide the site anew, where its size and its number of routers call for it.

        A block that is divided becomes two, so that a router's new block is a part of its old one.
        """
        count = block_count(len(self), routers, self.block_count)
        if count == self.block_count:
            return
        members = [member for block in self._blocks for member in block.members()]
        self._blocks = [CandidateGroup(self._cache) for _ in range(count)]
        for member in members:
            self.put(member.server_id, member.server, member.weight)

    def candidates(
        self, object_hash: int, weighted: bool, asker_hash: int, skipped_blocks: int = 0
    ) -> Iterator[ServerT]:
        """All caches, the best candidate for the object first, block after block in the asker's order.

        Leaves out the first ``skipped_blocks`` of them. A block is ranked only when it is reached.
        """
        blocks = self._blocks_for(asker_hash)[skipped_blocks:]
        if len(blocks) == 1:
            return blocks[0].candidates(object_hash, weighted)
        return itertools.chain.from_iterable(block.candidates(object_hash, weighted) for block in blocks)

    def _block_of(self, server_id: str) -> CandidateGroup[ServerT]:
        """The block that a cache belongs to, in every router."""
        return self._blocks[self._place(mix64(zlib.crc32(server_id.encode())))]

    def _place(self, hash_value: int) -> int:
        """Map a 64-bit hash to a block by its highest bits: twice as many blocks divide each one in two."""
        return hash_value * self.block_count >> 64

    def _blocks_for(self, asker_hash: int) -> list[CandidateGroup[ServerT]]:
        """All blocks in the order in which this asker turns to them.

        Routers of one block go on to different ones, so that no second block bears the spill of all.
        """
        count = self.block_count
        if count == 1:
            return self._blocks
        own = self._place(asker_hash)
        turns = [1 + (asker_hash + step) % (count - 1) for step in range(count - 1)]
        return [self._blocks[own], *(self._blocks[(own + turn) % count] for turn in turns)]
