"""Whose doing a late answer is, where answers do not tell whether it was a hit, but reports tell the load."""

from __future__ import annotations

from thornjunction import interface as api

BROKEN = {api.Note.SOURCE_REFUSED, api.Note.SOURCE_BROKE, api.Note.ORIGIN_FAILED}  # the source's doing
FULL = 1.0  # of a cache's cores, of a location's link: what the reports count to
ROOM = 0.7  # of the cores: below, a look at another cache takes the place of nothing better


def own(guess: bool, late: bool, busy: float | None) -> bool:
    """Whether an answer speaks of the cache itself, not of the fill behind it.  ``guess``: it is likely to
    have held the object.  Guards against a slow origin that shuts the gates of idle caches: after a purge or
    a start, what was likely to be held is filled like all else.  So a cache that reports idle cores is not to
    blame for what is late, and one that reports none free is."""
    return guess if not late or busy is None else busy >= FULL


def has_room(busy: float | None, link: float | None) -> bool:
    """Whether a cache and its location's link have room for a copy from another cache.  Unknown: no."""
    return busy is not None and link is not None and busy < ROOM and link < FULL
