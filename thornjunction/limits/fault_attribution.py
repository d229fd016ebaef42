"""Fault attribution: whether a cache or the source of its fill caused a late or failed answer."""

from __future__ import annotations

from thornjunction import interface as api

# Fill results that show that the source of a fill failed, not the cache.
SOURCE_FAULTS = frozenset(
    {api.FillResult.SOURCE_REFUSED, api.FillResult.SOURCE_FAILED, api.FillResult.ORIGIN_FAILED}
)

# Reported utilization at which a cache's cores, or its zone's link, are fully used.
FULL_LOAD = 1.0
# Utilization of a cache's cores below which it has capacity for peer lookups.
MAX_LOOKUP_LOAD = 0.7


def is_cache_responsible(*, likely_hit: bool, late: bool, load: float | None) -> bool:
    """Return whether the cache itself, rather than a fill, determined the time of an answer.

    If answers do not report hits, ``likely_hit`` is an estimate that is wrong after a purge or a restart,
    when objects that were likely cached are filled. A slow origin must not shut the gates of idle caches
    then. So a late answer is attributed to the cache only if the cache reports that all its cores are in use.

    ``load`` is the share of the cache's cores in use; if it was never reported (None), ``likely_hit``
    decides.
    """
    if not late or load is None:
        return likely_hit
    return load >= FULL_LOAD


def has_capacity_for_lookup(load: float | None, link_load: float | None) -> bool:
    """Return whether a cache and its zone's link have capacity for a peer lookup; False for unknown loads."""
    if load is None or link_load is None:
        return False
    return load < MAX_LOOKUP_LOAD and link_load < FULL_LOAD
