"""The events of the stand-in discovery, as bytes that are encoded once for all pollers.  No clock, no I/O."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from typing import Any
from zlib import crc32

HOLD_MS = 10_000.0  # a purge concerns whoever starts within so much of it
MOST_EVENTS = 400_000  # kept; over three hours at 34 a second
CACHED = 64  # answers kept until the next event
NEAR = 20  # events: who is so near the newest is in step, and only on its way to ask for the last ones

Line = dict[str, Any]


def encode_answer(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class EventLog:
    """Numbered from 1, the whole list being the first.  ``answer`` tells what lies behind a number."""

    def __init__(self, hosts: Sequence[Line]) -> None:
        self.hosts: dict[str, Line] = {str(line["host"]): dict(line) for line in hosts}
        self.seq, self.cursor = 0, 0
        self._events: list[bytes] = []
        self._held: deque[tuple[float, bytes]] = deque()  # purges with their own times, ms
        self._cache: dict[int, bytes] = {}
        self._newest = 0.0  # of the purges' own times
        self._past = 0, 0  # numbers between which lies a past that those in step have lived through
        self._list(list(self.hosts.values()), whole=True)

    def restart(self) -> None:
        """New numbers, as after a start of discovery: the whole list is the first event again."""
        self.cursor, self._past = 0, (0, 0)
        self._events.clear()
        self._held.clear()
        self._list(list(self.hosts.values()), whole=True)

    def purge(self, number: int, when_ms: float) -> None:
        """The object of that number is purged, at a Unix time."""
        drop = b'"drop":{"id":"%016x","when":%d}}' % (number, when_ms)
        self._add(drop)
        self._newest = max(self._newest, when_ms)
        if when_ms >= self._newest - HOLD_MS:
            self._held.append((when_ms, drop))
        while self._held and self._held[0][0] < self._newest - HOLD_MS:
            self._held.popleft()

    def past(self, purges: Iterable[tuple[int, float]]) -> None:
        """So many purges were told while some could not hear: to who is in step they count as told, but for
        the last; who is further behind is told all."""
        before = self.cursor
        for number, when_ms in purges:
            self.purge(number, when_ms)
        self._past = before, self.cursor

    def change(self, name: str, **more: Any) -> None:
        """One line of the list as it stands now; KeyError where it is not listed."""
        self.hosts[name] |= more
        self._list([self.hosts[name]], whole=False)

    def _list(self, lines: Sequence[Line], whole: bool) -> None:
        self.seq += 1
        self._add(self._nodes(lines, whole))

    def _nodes(self, lines: Sequence[Line], whole: bool) -> bytes:
        told = {"seq": self.seq, "whole": whole, "hosts": lines}
        return b'"nodes":%b}' % json.dumps(told, separators=(",", ":")).encode()

    def _add(self, what: bytes) -> None:
        if len(self._events) >= MOST_EVENTS:
            raise OverflowError("a run tells so many events at most")
        self.cursor += 1
        self._events.append(b'{"cursor":%d,%b' % (self.cursor, what))
        self._cache.clear()

    def answer(self, resume: int) -> bytes:
        """The whole HTTP answer to who has taken all up to that number.  To 0 the state as it stands: the
        purges that hold, and the list under the newest number."""
        if (made := self._cache.get(resume)) is not None:
            return made
        before, after = self._past
        if resume <= 0:
            events = self._whole()
        elif before - NEAR <= resume < after:
            events = self._events[resume:before] + self._events[after - 1 :]
        else:
            events = self._events[resume:]
        body = b'{"cursor":%d,"cmds":[%b]}' % (self.cursor, b",".join(events))
        if len(self._cache) >= CACHED:
            self._cache.clear()
        made = self._cache[resume] = encode_answer(body)
        return made

    def _whole(self) -> list[bytes]:
        first = self.cursor - len(self._held)
        held = [b'{"cursor":%d,%b' % (first + place, drop) for place, (_, drop) in enumerate(self._held)]
        return [*held, b'{"cursor":%d,%b' % (self.cursor, self._nodes(list(self.hosts.values()), True))]


def listed(shelfs: int, sites: Sequence[str], ports: Sequence[int], share: float) -> list[Line]:
    """The lines of so many edge caches, spread over the sites, and the origin, at these ports by turns."""
    names = [(f"s-{number:04d}", sites[number % len(sites)], "box") for number in range(shelfs)]
    names.append(("origin", sites[0], "root"))
    return [
        {"host": name, "dial": f"127.0.0.1:{ports[place % len(ports)]}", "site": site, "class": kind}
        | {"block": 0, "health": "active", "share": share, "born_ms": 0}
        for place, (name, site, kind) in enumerate(names)
    ]


def digest(shares: Mapping[str, float]) -> str:
    """A short name for a list, the same wherever the list is: the serving shelfs and their shares."""
    return f"{crc32(json.dumps(sorted(shares.items())).encode()):08x}"
