"""The events of a fake discovery, encoded once for all pollers; uses neither a clock nor I/O."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from zlib import crc32

# Age up to which a complete state includes a purge, relative to the newest issue time of a purge.
PURGE_RETENTION_MS = 10_000.0
# Capacity of a log; over three hours at 34 purges a second.
MAX_EVENTS = 400_000
# Encoded answers that are cached until the next event.
MAX_CACHED_ANSWERS = 64
# Events that an up-to-date poller may lack before a history: its next poll asks for them.
MAX_LAG_EVENTS = 20

Host = dict[str, str | float]
"""One entry of the endpoint list, with the keys that it has on the wire."""


@dataclass(frozen=True, slots=True)
class RetainedPurge:
    """A purge that a complete state includes: its issue time, and its encoding without the cursor."""

    issued_unix_ms: float
    body: bytes


@dataclass(frozen=True, slots=True)
class HistoryRange:
    """A history: the cursors just before its first event and of its last event."""

    before: int
    last: int


NO_HISTORY = HistoryRange(0, 0)


class TooManyEventsError(OverflowError):
    """The log has reached its capacity."""

    def __init__(self) -> None:
        super().__init__(f"a run publishes at most {MAX_EVENTS} events")


def encode_answer(body: bytes) -> bytes:
    """Return the HTTP response with this body."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


class EventLog:
    """Events numbered from 1; the first is the complete endpoint list."""

    def __init__(self, hosts: Sequence[Host]) -> None:
        self.hosts: dict[str, Host] = {str(host["host"]): dict(host) for host in hosts}
        self.cursor = 0
        self._list_sequence = 0
        self._events: list[bytes] = []
        self._retained: deque[RetainedPurge] = deque()
        self._newest_purge_ms = 0.0
        self._history = NO_HISTORY
        self._answers: dict[int, bytes] = {}
        self._add_list(list(self.hosts.values()), is_complete=True)

    def restart(self) -> None:
        """Restart the numbering at 1, as after a restart of discovery; earlier events are discarded."""
        self.cursor = 0
        self._history = NO_HISTORY
        self._events.clear()
        self._retained.clear()
        self._add_list(list(self.hosts.values()), is_complete=True)

    def purge(self, number: int, issued_unix_ms: float) -> None:
        """Append the purge of the object whose id is ``number``."""
        body = b'"drop":{"id":"%016x","when":%d}}' % (number, issued_unix_ms)
        self._add(body)
        self._newest_purge_ms = max(self._newest_purge_ms, issued_unix_ms)
        oldest_retained_ms = self._newest_purge_ms - PURGE_RETENTION_MS
        if issued_unix_ms >= oldest_retained_ms:
            self._retained.append(RetainedPurge(issued_unix_ms, body))
        while self._retained and self._retained[0].issued_unix_ms < oldest_retained_ms:
            self._retained.popleft()

    def add_history(self, purges: Iterable[tuple[int, float]]) -> None:
        """Append purges, by number and issue time, that count as already received by up-to-date pollers.

        Such a poller receives only the last of them; a poller that lacked earlier events receives all.
        """
        before = self.cursor
        for number, issued_unix_ms in purges:
            self.purge(number, issued_unix_ms)
        self._history = HistoryRange(before, self.cursor)

    def change(self, name: str, health: str, weight: float | None = None) -> None:
        """Change one entry of the endpoint list.  Raises KeyError if there is no entry ``name``."""
        host = self.hosts[name]
        host["health"] = health
        if weight is not None:
            host["share"] = weight
        self._add_list([host], is_complete=False)

    def _add_list(self, hosts: Sequence[Host], is_complete: bool) -> None:
        self._list_sequence += 1
        self._add(self._encode_list(hosts, is_complete))

    def _encode_list(self, hosts: Sequence[Host], is_complete: bool) -> bytes:
        nodes = {"seq": self._list_sequence, "whole": is_complete, "hosts": hosts}
        return b'"nodes":%b}' % json.dumps(nodes, separators=(",", ":")).encode()

    def _add(self, body: bytes) -> None:
        if len(self._events) >= MAX_EVENTS:
            raise TooManyEventsError
        self.cursor += 1
        self._events.append(_encode_event(self.cursor, body))
        self._answers.clear()

    def answer(self, resume: int) -> bytes:
        """Return the HTTP response for a poller that has received all events up to ``resume``.

        A ``resume`` of 0 returns the complete state: the retained purges and the endpoint list.
        """
        cached = self._answers.get(resume)
        if cached is not None:
            return cached
        body = b'{"cursor":%d,"cmds":[%b]}' % (self.cursor, b",".join(self._events_after(resume)))
        if len(self._answers) >= MAX_CACHED_ANSWERS:
            self._answers.clear()
        encoded = encode_answer(body)
        self._answers[resume] = encoded
        return encoded

    def _events_after(self, resume: int) -> Sequence[bytes]:
        if resume <= 0:
            return self._complete_state()
        history = self._history
        if history.before - MAX_LAG_EVENTS <= resume < history.last:
            return self._events[resume : history.before] + self._events[history.last - 1 :]
        return self._events[resume:]

    def _complete_state(self) -> list[bytes]:
        first_cursor = self.cursor - len(self._retained)
        purges = [
            _encode_event(first_cursor + index, purge.body) for index, purge in enumerate(self._retained)
        ]
        endpoint_list = self._encode_list(list(self.hosts.values()), is_complete=True)
        return [*purges, _encode_event(self.cursor, endpoint_list)]


def _encode_event(cursor: int, body: bytes) -> bytes:
    return b'{"cursor":%d,%b' % (cursor, body)


def build_endpoint_list(
    cache_servers: int, sites: Sequence[str], ports: Sequence[int], weight: float
) -> list[Host]:
    """Return the entries of the edge caches, spread over sites and ports cyclically, and of the origin."""
    servers = [(f"s-{number:04d}", sites[number % len(sites)], "box") for number in range(cache_servers)]
    servers.append(("origin", sites[0], "root"))
    return [
        {
            "host": name,
            "dial": f"127.0.0.1:{ports[index % len(ports)]}",
            "site": site,
            "class": kind,
            "block": 0,
            "health": "active",
            "share": weight,
            "born_ms": 0,
        }
        for index, (name, site, kind) in enumerate(servers)
    ]


def list_digest(weights: Mapping[str, float]) -> str:
    """Return a digest of an endpoint list, by which lists of discovery and of routers are compared.

    ``weights`` maps the names of the active cache servers to their weights.
    """
    return f"{crc32(json.dumps(sorted(weights.items())).encode()):08x}"
