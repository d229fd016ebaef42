"""An engine with a scripted router and with upstreams that record their calls."""

from __future__ import annotations

from thornjunction import interface as api
from thornjunction.core.counters import Counters
from thornjunction.core.engine import Engine
from thornjunction.core.ports import Answer, ClientRequest, UpstreamRequest
from thornjunction.memory.deadlines import Deadlines

REQUEST = ClientRequest("t1", "films", "00000000000000ff", 1000.0)


class ScriptedPorts:
    """An engine whose router and upstreams are this object.

    Attributes:
        now_ms: time on the engine's clock.
        events: events that the router was passed, in order.
        scripted_actions: actions that the router returns for each of the next events; after them, none.
        sent: attempts that were sent.
        cancelled: numbers of the attempts that were cancelled.
        attempts_wait: whether attempts wait for a connection, and so have not begun.
        answers: final answers to clients.
    """

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.events: list[api.Event] = []
        self.scripted_actions: list[list[api.Action]] = []
        self.sent: list[UpstreamRequest] = []
        self.cancelled: list[int] = []
        self.attempts_wait = False
        self.answers: list[Answer] = []
        self.deadlines = Deadlines()
        self.counters = Counters(classes={"films"})
        self.engine = Engine(self, 2, lambda: self.now_ms, self.deadlines, self, self.counters)

    def handle(self, _now_ms: float, event: api.Event) -> list[api.Action]:
        """Return the next scripted actions, in place of the router."""
        self.events.append(event)
        return self.scripted_actions.pop(0) if self.scripted_actions else []

    def send(self, request: UpstreamRequest) -> None:
        """Record an attempt, in place of the upstreams."""
        self.sent.append(request)

    def withdraw(self, _number: int) -> bool:
        """Return whether the attempt had not begun, in place of the upstreams."""
        return self.attempts_wait

    def cancel(self, number: int) -> None:
        """Record a cancelled attempt, in place of the upstreams."""
        self.cancelled.append(number)

    def probe(self, server: str) -> None:
        """Fail, in place of the upstreams: no script contains a health check."""
        raise NotImplementedError

    def open(self) -> int:
        """Open a request whose first attempt goes to server ``s`` for 500 ms, and return its number."""
        self.scripted_actions = [[api.StartAttempt("0", "s", 500.0, "s")]]
        return self.engine.open(REQUEST, self.answers.append)

    def elapse(self, time_ms: float) -> None:
        """Advance the clock and run the deadlines that are due."""
        self.now_ms += time_ms
        self.deadlines.run_due(self.now_ms)

    def ended_attempts(self) -> list[api.AttemptEnded]:
        """Return the ``AttemptEnded`` events that the router was given, in order."""
        return [event for event in self.events if isinstance(event, api.AttemptEnded)]
