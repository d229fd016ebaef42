"""Poll responses: pages of the log or of the complete state; members that lack the same events share one."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from heapq import merge
from typing import NamedTuple

from control_relay.encoding import encode_response
from control_relay.endpoints import EndpointList
from control_relay.event_log import EventLog, LogEvent

# Time for which an encoded response is reused.  The age that it states is increased by this, so that it is
# never too low.
MAX_RESPONSE_REUSE_MS = 50

# Upper bound on the cached responses.
MAX_CACHED_RESPONSES = 64


@dataclass(frozen=True, slots=True)
class Page:
    """A page of encoded events.

    ``last_number`` is that of the last event, None without events.  A member that has them is complete up
    to ``complete_up_to``; None where more pages follow, because members apply a list after the last one.
    """

    events: bytes
    cursor: int
    last_number: int | None
    complete_up_to: int | None


@dataclass(frozen=True, slots=True)
class Response:
    """A page as a response body.

    ``complete_state_number`` is the list's number where the page belongs to a complete state, else None.
    """

    body: bytes
    last_number: int | None
    complete_up_to: int | None
    complete_state_number: int | None


class _CacheKey(NamedTuple):
    is_complete_state: bool
    first_number: int | None


class _CachedResponse(NamedTuple):
    encoded_at_ms: float
    response: Response


class PagedResponses:
    """Encodes responses and caches them for ``MAX_RESPONSE_REUSE_MS``.

    Call ``invalidate`` after each change of the log.
    """

    def __init__(self, epoch: str, log: EventLog, endpoints: EndpointList, max_page_bytes: int) -> None:
        self._epoch = epoch
        self._log = log
        self._endpoints = endpoints
        self._max_page_bytes = max_page_bytes
        self._cache: dict[_CacheKey, _CachedResponse] = {}

    def invalidate(self) -> None:
        """Forget all cached responses."""
        self._cache.clear()

    def changes(self, now: float, age_ms: float, resume: int) -> Response:
        """Return a page of the events after ``resume``."""
        key = _CacheKey(False, self._log.first_after(resume))
        cached = self._cached(now, key)
        if cached is not None:
            return cached
        page = self._page(self._log.events_after(resume))
        return self._encode(now, age_ms, key, page)

    def complete_state(self, now: float, age_ms: float, resume: int) -> Response:
        """Return a page of the complete list and the active purges after ``resume``."""
        first_purge = next(self._log.purges_after(resume), None)
        key = _CacheKey(True, first_purge.number if first_purge is not None else None)
        cached = self._cached(now, key)
        if cached is not None:
            return cached
        endpoint_list = LogEvent(self._endpoints.number, self._endpoints.encoded_event())
        page = self._page(merge(self._log.purges_after(resume), [endpoint_list]))
        return self._encode(now, age_ms, key, page)

    def _cached(self, now: float, key: _CacheKey) -> Response | None:
        cached = self._cache.get(key)
        if cached is None or now - cached.encoded_at_ms > MAX_RESPONSE_REUSE_MS:
            return None
        return cached.response

    def _encode(self, now: float, age_ms: float, key: _CacheKey, page: Page) -> Response:
        body = encode_response(
            self._epoch, math.ceil(age_ms) + MAX_RESPONSE_REUSE_MS, page.cursor, page.events
        )
        complete_state_number = self._endpoints.number if key.is_complete_state else None
        response = Response(body, page.last_number, page.complete_up_to, complete_state_number)
        if len(self._cache) >= MAX_CACHED_RESPONSES:
            self._cache.clear()
        self._cache[key] = _CachedResponse(now, response)
        return response

    def _page(self, events: Iterable[LogEvent]) -> Page:
        """Return a page with as many events as fit, but at least one if there is any.

        Its cursor is the last event's number, or that of the last delivered event where more pages follow.
        """
        encoded: list[bytes] = []
        size_bytes = 0
        last_number = None
        delivered = self._log.delivered
        for number, data in events:
            if encoded and size_bytes + len(data) + 1 > self._max_page_bytes:
                return Page(b",".join(encoded), delivered, last_number, complete_up_to=None)
            encoded.append(data)
            size_bytes += len(data) + 1
            last_number = number
        cursor = delivered if last_number is None else last_number
        return Page(b",".join(encoded), cursor, last_number, complete_up_to=delivered)
