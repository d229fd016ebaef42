"""Who is at fault for a late or failed answer: the cache that gave it, or the source behind it."""

from __future__ import annotations

from thornjunction import interface as api

# Notes that tell that the source of a fill failed, not the cache that asked for it.
SOURCE_FAULTS = frozenset(
    {api.FillResult.SOURCE_REFUSED, api.FillResult.SOURCE_BROKE, api.FillResult.ORIGIN_FAILED}
)

# Load reports count up to this: all of a cache's cores in use, or all of its zone's link.
FULL_LOAD = 1.0
# Share of a cache's cores in use, below which a peer lookup takes capacity from nothing better.
LOOKUP_LOAD = 0.7


def is_cache_responsible(*, likely_hit: bool, late: bool, load: float | None) -> bool:
    """Tell whether an answer speaks of the cache itself rather than of the fill behind it.

    Where answers do not tell hits, ``likely_hit`` is a guess, and a slow origin must not shut the gates of
    idle caches: after a purge or a start, objects that were likely cached are filled like all others. So a
    cache that reports idle cores is not at fault for a late answer, and one that reports none free is.

    ``load`` is the share of the cache's cores in use, None where it was never reported.
    """
    if not late or load is None:
        return likely_hit
    return load >= FULL_LOAD


def has_capacity_for_lookup(load: float | None, link_load: float | None) -> bool:
    """Tell whether a cache and its zone's link can bear a peer lookup; not where a load is unknown."""
    if load is None or link_load is None:
        return False
    return load < LOOKUP_LOAD and link_load < FULL_LOAD
