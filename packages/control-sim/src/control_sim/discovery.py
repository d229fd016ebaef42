"""Simulated discovery with the plain protocol; it issues a limited number of list changes and purges."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from fleet_sim import Disk
from sansio_core import RandomSource, SetTimer, Started, TimerFired

from control_sim.connections import ConnectionClosed, RequestReceived, SendReply

# Names of the endpoints that list changes add, change or remove.
ENDPOINT_NAMES = ("s1", "s2", "s3", "s4")

# Name of an endpoint that changes with every version of the list and therefore identifies that version.
VERSION_ENDPOINT = "clock"

# Keys of the objects that purges are drawn from.
OBJECT_KEYS = tuple(f"{number:016x}" for number in range(6))

# Number of the groups that purges are drawn from.
GROUP_COUNT = 2

# First event number of the first incarnation.
FIRST_NUMBER = 1_000_000

# Difference by which each incarnation begins at a lower event number than the one before, so that pollers can
# detect the restart.
NUMBERS_PER_INCARNATION = 1_000

# Low bits of a list's version that count changes; the bits above are the incarnation of the reset, so that
# versions after a reset differ from earlier ones.
INCARNATION_VERSION_BITS = 20

# Upper bound on the events that discovery issues in a run.
MAX_ISSUED_EVENTS = 16

# The most recent purges, which a restarted discovery sends again.
RETAINED_PURGES = 12

# Sequence number (``seq``) of the first list.
FIRST_SEQ = 3

# Shortest time between two issued events.
MIN_ISSUE_DELAY_MS = 50.0

# Upper bound on the random time that is added to ``MIN_ISSUE_DELAY_MS``.
ISSUE_DELAY_SPREAD_MS = 700.0

# Probability that an event is a list change rather than a purge.
CHANGE_PROBABILITY = 0.4

# Probability that a purge is for an object rather than for a group.
OBJECT_PURGE_PROBABILITY = 0.8

# Probability that a purge is sent ``LATE_PURGE_MS`` after the issue time that it states.
LATE_PURGE_PROBABILITY = 0.1

# Time from the stated issue of a late purge until it is sent.
LATE_PURGE_MS = 400.0

# Unix time between the starts of two incarnations.
UNIX_MS_PER_INCARNATION = 1e7

# A poll with a shorter block time is answered at once.
MIN_BLOCK_MS = 1.0

# Token of the timer that issues events; the timers of pending polls have higher tokens.
ISSUE_TIMER = 0


class PurgeIssue(NamedTuple):
    """A purge of an object or group."""

    target: str | int
    issued_unix_ms: float


class _PendingPoll(NamedTuple):
    source: str
    connection: int
    resume: int


class Discovery:
    """Discovery, whose endpoint list and recent purges are kept on its disk.

    A restart with an empty disk resets the list.  Any restart begins a new range of event numbers.
    """

    def __init__(self, incarnation: int, draw: RandomSource, disk: Disk) -> None:
        self._draw = draw
        self._disk = disk
        self._incarnation = incarnation
        disk.setdefault("seq", FIRST_SEQ)
        disk.setdefault("version", incarnation << INCARNATION_VERSION_BITS)
        names = (*ENDPOINT_NAMES, VERSION_ENDPOINT)
        disk.setdefault("endpoints", {name: self._endpoint(name, "active") for name in names})
        disk.setdefault("purges", [])
        disk.setdefault("issued", 0)
        self.endpoints: dict[str, dict[str, Any]] = disk["endpoints"]
        self.purges: list[PurgeIssue] = []  # of this incarnation, in the order of issue
        self._first_number = FIRST_NUMBER - NUMBERS_PER_INCARNATION * incarnation
        self._events: list[str] = []
        self._pending_polls: dict[int, _PendingPoll] = {}  # by timer
        self._last_timer = ISSUE_TIMER
        self._started_ms = 0.0

    @property
    def version(self) -> int:
        """The version of the list, which increases with every change."""
        return int(self._disk["version"])

    def handle(self, now: float, event: object) -> list[Any]:
        """Process one event; return the actions to carry out."""
        match event:
            case Started():
                return self._start(now)
            case TimerFired(token) if token == ISSUE_TIMER:
                return self._issue(now)
            case TimerFired(token):
                return self._answer_expired(token)
            case RequestReceived():
                return self._handle_poll(event)
            case ConnectionClosed(connection):
                self._forget_polls(connection)
        return []

    @property
    def _last_number(self) -> int:
        return self._first_number + len(self._events) - 1

    # Issuing

    def _start(self, now: float) -> list[Any]:
        self._started_ms = now
        self._append_list(True, list(self.endpoints.values()))
        for purge in self._disk["purges"]:
            self._append_purge(purge)
        return [SetTimer(self._issue_delay_ms(), ISSUE_TIMER)]

    def _issue_delay_ms(self) -> float:
        return MIN_ISSUE_DELAY_MS + ISSUE_DELAY_SPREAD_MS * self._draw() ** 2

    def _issue(self, now: float) -> list[Any]:
        if self._disk["issued"] >= MAX_ISSUED_EVENTS:
            return []
        self._disk["issued"] += 1
        if self._draw() < CHANGE_PROBABILITY:
            self._change_list()
        else:
            self._purge(now)
        return [*self._answer_all(), SetTimer(self._issue_delay_ms(), ISSUE_TIMER)]

    def _change_list(self) -> None:
        name = ENDPOINT_NAMES[int(self._draw() * len(ENDPOINT_NAMES))]
        self._disk["version"] += 1
        self._disk["seq"] += 1
        health = ("active", "leaving", "left")[int(self._draw() * 3)]
        changed = [self._endpoint(name, health), self._endpoint(VERSION_ENDPOINT, "active")]
        for endpoint in changed:
            if endpoint["health"] == "left":
                self.endpoints.pop(name, None)
            else:
                self.endpoints[endpoint["host"]] = endpoint
        self._append_list(False, changed)

    def _purge(self, now: float) -> None:
        target: str | int
        if self._draw() < OBJECT_PURGE_PROBABILITY:
            target = OBJECT_KEYS[int(self._draw() * len(OBJECT_KEYS))]
        else:
            target = int(self._draw() * GROUP_COUNT)
        issued_unix_ms = self._incarnation * UNIX_MS_PER_INCARNATION + now - self._started_ms
        if self._draw() < LATE_PURGE_PROBABILITY:
            issued_unix_ms -= LATE_PURGE_MS
        purge = PurgeIssue(target, issued_unix_ms)
        self.purges.append(purge)
        self._disk["purges"] = [*self._disk["purges"], purge][-RETAINED_PURGES:]
        self._append_purge(purge)

    def _endpoint(self, name: str, health: str) -> dict[str, Any]:
        return {"host": name, "health": health, "version": self._disk["version"], "dial": "10.0.0.1:1"}

    def _append_list(self, is_complete: bool, endpoints: list[dict[str, Any]]) -> None:
        self._append({"nodes": {"seq": self._disk["seq"], "whole": is_complete, "hosts": endpoints}})

    def _append_purge(self, purge: PurgeIssue) -> None:
        key = "id" if isinstance(purge.target, str) else "family"
        self._append({"drop": {key: purge.target, "when": purge.issued_unix_ms}})

    def _append(self, event: dict[str, Any]) -> None:
        self._events.append(json.dumps({"cursor": self._last_number + 1, **event}))

    # Polls

    def _handle_poll(self, event: RequestReceived) -> list[Any]:
        request = event.request
        poll = _PendingPoll(event.source, event.connection, request.resume)
        if request.resume < self._last_number or request.block_ms < MIN_BLOCK_MS:
            return [self._reply(poll)]
        self._last_timer += 1
        self._pending_polls[self._last_timer] = poll
        return [SetTimer(request.block_ms, self._last_timer)]

    def _forget_polls(self, connection: int) -> None:
        self._pending_polls = {
            timer: poll for timer, poll in self._pending_polls.items() if poll.connection != connection
        }

    def _answer_all(self) -> list[Any]:
        polls = list(self._pending_polls.values())
        self._pending_polls.clear()
        return [self._reply(poll) for poll in polls]

    def _answer_expired(self, timer: int) -> list[Any]:
        poll = self._pending_polls.pop(timer, None)
        return [] if poll is None else [self._reply(poll)]

    def _reply(self, poll: _PendingPoll) -> SendReply:
        first = max(0, poll.resume + 1 - self._first_number)
        events = ",".join(self._events[first:])
        body = b'{"cursor":%d,"cmds":[%s]}' % (self._last_number, events.encode())
        return SendReply(poll.source, poll.connection, body)
