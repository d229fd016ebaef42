"""A fake discovery for many pollers: publishes planned events and answers long polls."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from fleet_scale.event_plan import ChangePlan, EventPlan, PurgePlan, weight_of_change
from fleet_scale.messages import DiscoveryCounters, DiscoveryFigures
from fleet_scale.process_usage import usage_of_this_process
from fleet_scale.worker.event_log import EventLog, Host, list_digest
from fleet_scale.worker.plan_schedule import PlanSchedule
from fleet_scale.worker.poll_connection import PollConnection
from thornjunction.net.event_loop.ports import DelayedCall, ListeningPort, Reactor
from thornjunction.net.event_loop.transport import BuildFactory

# Interval at which polls whose block time has expired are answered.
SWEEP_INTERVAL_S = 0.02
# A poll with a block time up to this is answered immediately.
MAX_IMMEDIATE_BLOCK_MS = 20.0
# Connections that the kernel queues until the process accepts them.
LISTEN_BACKLOG = 2048
ORIGIN_NAME = "origin"


@dataclass(frozen=True, slots=True)
class WaitingPoll:
    """A poll that waits for an event: the poller's last cursor, and the end of the poll's block time."""

    resume: int
    deadline_s: float


class EventDiscovery:
    """Listens as soon as it is constructed; ``clock`` returns seconds of the monotonic clock."""

    def __init__(
        self, reactor: Reactor, hosts: Sequence[Host], clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._log = EventLog(hosts)
        self._connections: set[PollConnection] = set()
        self._waiting: dict[PollConnection, WaitingPoll] = {}
        self._counters = DiscoveryCounters()
        self._schedule = PlanSchedule()
        self._publish_call: DelayedCall | None = None
        self._listening: ListeningPort | None = None
        self.port = 0
        self.listen()
        self._sweep()

    # -- connections --

    def listen(self) -> None:
        """Accept pollers, on the same port after each stop."""
        self._listening = self._reactor.listenTCP(
            self.port, BuildFactory(self._build_connection), backlog=LISTEN_BACKLOG, interface="127.0.0.1"
        )
        self.port = int(self._listening.getHost().port)

    def stop_listening(self) -> None:
        """Stop accepting pollers, and reset the open connections."""
        if self._listening is not None:
            self._listening.stopListening()
        for connection in list(self._connections):
            connection.abort()

    def restart_numbering(self) -> None:
        """Restart the numbering of events at 1, as after a restart of discovery."""
        self._log.restart()
        self._answer_waiting()

    def _build_connection(self) -> PollConnection:
        self._counters.connections += 1
        return PollConnection(self)

    def connected(self, connection: PollConnection) -> None:
        """Register a poller."""
        self._connections.add(connection)

    def disconnected(self, connection: PollConnection) -> None:
        """Deregister a poller."""
        self._connections.discard(connection)
        self._waiting.pop(connection, None)

    # -- polls --

    def received(self, byte_count: int) -> None:
        """Count bytes received from pollers."""
        self._counters.bytes_in += byte_count

    def polled(self, connection: PollConnection, resume: int, block_ms: float) -> None:
        """Answer a poll immediately if there are events after ``resume``; otherwise hold it."""
        self._counters.polls += 1
        if resume < self._log.cursor or block_ms <= MAX_IMMEDIATE_BLOCK_MS:
            self._answer(connection, resume)
        else:
            self._waiting[connection] = WaitingPoll(resume, self._clock() + block_ms / 1000.0)

    def _answer(self, connection: PollConnection, resume: int) -> None:
        data = self._log.answer(resume)
        self._counters.answers += 1
        self._counters.bytes_out += len(data)
        connection.answer(data)

    def _answer_waiting(self) -> None:
        waiting = self._waiting
        self._waiting = {}
        for connection, poll in waiting.items():
            self._answer(connection, poll.resume)

    def _sweep(self) -> None:
        """Answer the polls whose block time has expired."""
        now_s = self._clock()
        for connection, poll in list(self._waiting.items()):
            if poll.deadline_s <= now_s:
                del self._waiting[connection]
                self._answer(connection, poll.resume)
        self._reactor.callLater(SWEEP_INTERVAL_S, self._sweep)

    # -- events --

    def publish(self, plan: EventPlan) -> None:
        """Publish the events of a plan at their times."""
        self._schedule.add(plan)
        self._schedule_next()

    def _schedule_next(self) -> None:
        if self._publish_call is not None:
            self._publish_call.cancel()
            self._publish_call = None
        due_s = self._schedule.next_due_s
        if due_s is not None:
            wait_s = max(due_s - self._clock(), 0.0)
            self._publish_call = self._reactor.callLater(wait_s, self._publish_due)

    def _publish_due(self) -> None:
        """Publish all events that are due, then answer every waiting poll."""
        self._publish_call = None
        for event in self._schedule.take_due(self._clock()):
            plan = event.plan
            if isinstance(plan, ChangePlan):
                self._publish_change(plan, event.number)
            elif plan.is_history:
                self._log.add_history(
                    (number, self._issued_unix_ms(plan, number)) for number in plan.numbers()
                )
            else:
                self._log.purge(event.number, self._issued_unix_ms(plan, event.number))
        self._answer_waiting()
        self._schedule_next()

    def _publish_change(self, plan: ChangePlan, number: int) -> None:
        names = [name for name in self._log.hosts if name != ORIGIN_NAME]
        name = names[plan.server_index(number, len(names))]
        self._log.change(name, plan.health(number), weight_of_change(number))

    def _issued_unix_ms(self, plan: PurgePlan, number: int) -> float:
        unix_offset_s = time.time() - self._clock()
        return (unix_offset_s + plan.issued_s(number)) * 1000.0

    def figures(self) -> DiscoveryFigures:
        """Return the counters since the start and the current state."""
        active_weights = {
            name: float(host["share"]) for name, host in self._log.hosts.items() if host["health"] == "active"
        }
        return DiscoveryFigures(
            port=self.port,
            cursor=self._log.cursor,
            open_connections=len(self._connections),
            waiting_polls=len(self._waiting),
            planned_events=len(self._schedule),
            list_digest=list_digest(active_weights),
            counters=self._counters,
            usage=usage_of_this_process(),
        )
