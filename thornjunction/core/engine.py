"""Drives one router: calls become its events, its actions become attempts and final answers."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Protocol

from thornjunction import interface as api
from thornjunction.core.ports import (
    Answer,
    Call,
    Content,
    Failed,
    Observer,
    Order,
    Refused,
    Reply,
    Served,
    Upstreams,
)
from thornjunction.logs import get_logger
from thornjunction.memory.deadlines import Deadline, Deadlines
from thornjunction.memory.slots import SlotTable

REQUESTS, ATTEMPTS = 4096, 8192  # open at most; what holds bytes is bounded at the connections
NEAR_DEADLINE_MS = 50.0  # a failure this close to the client's limit counts as the deadline's

log = get_logger(__name__)


class Decider(Protocol):
    """The decision module's router."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]: ...


@dataclass(slots=True)
class Open:
    """A request that is owed its answer."""

    call: Call
    reply: Reply
    since: float
    backstop: Deadline
    max_attempts: int  # as the settings were when it came
    attempts: int = 0


@dataclass(slots=True)
class Out:
    """An attempt that is out."""

    request: str
    attempt: int
    server: str
    sent: float
    timer: Deadline


class Engine:
    """Owns requests and attempts.  Single-threaded; events raised while one is handled wait their turn."""

    def __init__(
        self,
        router: Decider,
        max_attempts: int,
        clock: Callable[[], float],
        deadlines: Deadlines,
        upstreams: Upstreams,
        observer: Observer,
    ) -> None:
        self.router, self.max_attempts, self.clock = router, max_attempts, clock
        self.deadlines, self.upstreams, self.observer = deadlines, upstreams, observer
        self.requests: SlotTable[Open] = SlotTable(REQUESTS)
        self.attempts: SlotTable[Out] = SlotTable(ATTEMPTS)
        self._numbers: dict[tuple[str, int], int] = {}  # by request and attempt: the attempt's slot
        self._events: deque[api.Event] = deque()
        self._busy = False
        self.ends_at = math.inf  # when this process has to be done
        self.kb_per_byte = 0.0  # of an answer, as the settings count sizes; 0: not told

    def open(self, call: Call, reply: Reply) -> int | None:
        """Take a request on; its number, or None where no slot is free and nothing was taken."""
        now = self.clock()
        if self.requests.full or len(self.deadlines) + 8 > self.deadlines.capacity:
            return None
        # Guards what comes while the process ends: its answer is owed before the end, not later.
        left_ms = min(call.left_ms, max(self.ends_at - now, 0.0))
        slot: list[int] = []
        # Guards against a decision that never comes, after an error in the module: the client gets an answer.
        backstop = self.deadlines.add(now + left_ms, lambda: self._overdue(slot[0]))
        number = self.requests.add(Open(call, reply, now, backstop, self.max_attempts))
        slot.append(number)
        self.feed(
            api.Request(
                request=str(number),
                class_name=call.class_name,
                key=int(call.object_id, 16),
                left_ms=left_ms,
                part=call.part,
                group=call.group,
                size_kb=call.size_kb,
                idempotency_key=call.idempotency_key,
            )
        )
        return number

    def abandon(self, number: int) -> None:
        """The client left; nothing is owed any more."""
        request = self.requests.remove(number)
        if request is None:
            return
        self.deadlines.cancel(request.backstop)
        self.observer.answered(request.call.class_name, None, self.clock() - request.since)
        self.feed(api.ClientGone(str(number)))
        self._withdraw(number, request)

    def hurry(self) -> None:
        """All that is open gets its answer now, of what is known by now."""
        for number in self.requests.numbers():
            self.feed(api.TimeUp(str(number)))

    def ended(
        self,
        number: int,
        status: api.Status,
        content: Content | None = None,
        report: api.Report | None = None,
    ) -> None:
        """An attempt's end.  A late one, whose slot is free by now, is dropped."""
        out = self.attempts.remove(number)
        if out is None:
            return
        self.deadlines.cancel(out.timer)
        del self._numbers[out.request, out.attempt]
        took = self.clock() - out.sent
        self.observer.attempted(status, took)
        request = None
        if status is api.Status.DONE and content is not None:
            request = self._finish(int(out.request), Served(content))
        final = self.requests.get(int(out.request)) is None
        size = len(content.body) * self.kb_per_byte if content is not None else 0.0
        end = api.Outcome(out.request, out.attempt, out.server, status, took, final=final, report=report)
        self.feed(replace(end, size_kb=size) if size else end)
        self._withdraw(int(out.request), request)  # after it, or the router learns from the copies first

    def probed(self, server: str, status: api.Status, took_ms: float, report: api.Report | None) -> None:
        self.feed(api.Probed(server, status, took_ms, report))

    def feed(self, event: api.Event) -> None:
        """Hand the router an event and carry out what it decides, in order."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._busy = False

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self.router.handle(self.clock(), event)
        except Exception:  # one event that the module chokes on must not end the process
            log.exception("module-failed", event_kind=type(event).__name__)
            return
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.Fetch():
                self._send(action)
            case api.Cancel():
                self._cancel(action)
            case api.Refuse():
                self._end(int(action.request), Refused(action.wait_ms))
            case api.Fail():
                self._end(int(action.request), None)
            case api.SetTimer():
                token = action.token
                self.deadlines.add(self.clock() + action.in_ms, lambda: self.feed(api.TimerFired(token)))
            case api.Probe():
                self.upstreams.probe(action.server)

    def _send(self, fetch: api.Fetch) -> None:
        request = self.requests.get(int(fetch.request))
        attempt = 0
        if request is not None:
            attempt, request.attempts = request.attempts, request.attempts + 1
        if request is None or attempt >= request.max_attempts or self.attempts.full:
            self.feed(
                api.Outcome(fetch.request, attempt, fetch.server, api.Status.SKIPPED, final=request is None)
            )
            return
        now, slot = self.clock(), [-1]
        timer = self.deadlines.add(now + max(fetch.timeout_ms, 0.0), lambda: self._timed_out(slot[0]))
        number = self.attempts.add(Out(fetch.request, attempt, fetch.server, now, timer))
        slot[0] = self._numbers[fetch.request, attempt] = number
        self.upstreams.send(Order(number, request.call, fetch))

    def _timed_out(self, number: int) -> None:
        self._call_back(number, api.Status.TIMEOUT)

    def _cancel(self, cancel: api.Cancel) -> None:
        number = self._numbers.get((cancel.request, cancel.attempt))
        if number is not None:
            self._call_back(number, api.Status.CANCELLED)

    def _call_back(self, number: int, status: api.Status) -> None:
        """Stop waiting for an attempt's end; one that has not begun never ran."""
        if self.upstreams.withdraw(number):
            return self.ended(number, api.Status.SKIPPED)
        self.upstreams.give_up(number)
        self.ended(number, status)

    def _withdraw(self, number: int, request: Open | None) -> None:
        """No attempt of a request that has ended may begin: its client may have left, and what it would do
        is owed to nobody."""
        for attempt in range(request.attempts if request is not None else 0):
            out = self._numbers.get((str(number), attempt))
            if out is not None and self.upstreams.withdraw(out):
                self.ended(out, api.Status.SKIPPED)

    def _overdue(self, number: int) -> None:
        request = self._finish(number, None)
        self.feed(api.ClientGone(str(number)))
        self._withdraw(number, request)

    def _end(self, number: int, answer: Answer | None) -> None:
        self._withdraw(number, self._finish(number, answer))

    def _finish(self, number: int, answer: Answer | None) -> Open | None:
        """The one final answer: who comes second finds the slot free, and gets None back.  No answer given:
        failed, the clock says why."""
        request = self.requests.remove(number)
        if request is None:
            return None
        self.deadlines.cancel(request.backstop)
        now = self.clock()
        if answer is None:
            answer = Failed(timed_out=now >= request.since + request.call.left_ms - NEAR_DEADLINE_MS)
        self.observer.answered(request.call.class_name, answer, now - request.since)
        request.reply(answer)
        return request
