"""What a poll is answered with: pages of the log or of the whole state, shared by all who need the same."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from heapq import merge

from control_relay.encoding import answer
from control_relay.endpoints import Shelves
from control_relay.event_log import Log

SLACK_MS = 50  # an answer is shared for so long; the age that it tells is greater by this
MOST_KEPT = 64  # answers


@dataclass(frozen=True, slots=True)
class Page:
    """Events up to ``last``.  Who has taken them holds all up to ``covers``; 0: more is to
    come, and until then a router may hold back the list that it has been told."""

    events: bytes
    cursor: int
    last: int
    covers: int


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer's body; ``whole``: it belongs to a whole state whose list has this number, else 0."""

    body: bytes
    last: int
    covers: int
    whole: int


class Pages:
    def __init__(self, epoch: str, log: Log, shelves: Shelves, page_bytes: int) -> None:
        self.epoch, self._log, self._shelves, self._most = epoch, log, shelves, page_bytes
        self._kept: dict[tuple[bool, int], tuple[float, Reply]] = {}

    def clear(self) -> None:
        """The log has changed."""
        self._kept.clear()

    def changes(self, now: float, age_ms: float, resume: int) -> Reply:
        """What follows ``resume``; the same object to all who lack the same."""
        first = self._log.first_after(resume)
        return self._kept_reply(now, age_ms, (False, first), resume)

    def whole(self, now: float, age_ms: float, resume: int) -> Reply:
        """The whole state, without the purges up to ``resume``."""
        first = next(self._log.purges_after(resume), (0, b""))[0]
        return self._kept_reply(now, age_ms, (True, first), resume)

    def _kept_reply(self, now: float, age_ms: float, key: tuple[bool, int], resume: int) -> Reply:
        kept = self._kept.get(key)
        if kept is not None and 0 <= now - kept[0] <= SLACK_MS:
            return kept[1]
        page = self._whole_page(resume) if key[0] else self._page(self._log.after(resume))
        body = answer(self.epoch, math.ceil(age_ms) + SLACK_MS, page.cursor, page.events)
        reply = Reply(body, page.last, page.covers, self._shelves.number if key[0] else 0)
        if len(self._kept) >= MOST_KEPT:
            self._kept.clear()
        self._kept[key] = now, reply
        return reply

    def _whole_page(self, resume: int) -> Page:
        whole = self._shelves.number, self._shelves.event()
        return self._page(merge(self._log.purges_after(resume), [whole]))

    def _page(self, events: Iterable[tuple[int, bytes]]) -> Page:
        """The cursor is the last event's number, or what there is to tell if more is to come."""
        taken: list[bytes] = []
        size = last = 0
        for number, data in events:
            if taken and size + len(data) + 1 > self._most:
                return Page(b",".join(taken), self._log.told, last, 0)
            taken.append(data)
            size += len(data) + 1
            last = number
        return Page(b",".join(taken), last or self._log.told, last, self._log.told)
