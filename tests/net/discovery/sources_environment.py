"""A watch on several scripted sources, with a clock that the test advances."""

from __future__ import annotations

from collections.abc import Callable

from control_client import SourceSelector
from fakes.event_loop import Steps, reactor, wait_until
from fakes.manual_clock import ManualClock
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.trial.unittest import TestCase

from tests.net.discovery.scripted_source import OK, ScriptedSource
from thornjunction.net.discovery.connection_state import ConnectionState
from thornjunction.net.discovery.multi_source_watch import MultiSourceWatch, PollIdentity
from thornjunction.net.discovery.watch import WatchHandlers
from thornjunction.net.discovery.watch_context import WatchContext
from thornjunction.net.wire.commands import Command, ListChange

START_MS = 1e6
RETENTION_MS = 10_000.0
STEP_MS = 400.0
ROUTER_NAME = "r1"


def poll_query(is_sibling: bool) -> str:
    """The part of a poll's query that identifies the sender."""
    return "&as=sibling" if is_sibling else f"&as=router&name={ROUTER_NAME}"


class SourcesEnvironment(ManualClock):
    """A watch on one source for each epoch.

    Attributes:
        sources: the sources, in the operators' order.
        watch: the watch under test.
        received_events: the events that the watch has delivered.
        confirmations: age and cursor of each confirmation.
        new_epochs: number of epochs that the watch has reported.
        synchronizations: how often the watch has reported its synchronization; a correct watch does so once.
    """

    def __init__(self, *epochs: str) -> None:
        super().__init__()
        self.now_ms = START_MS
        self.sources = [ScriptedSource(epoch) for epoch in epochs]
        self.received_events: list[Command] = []
        self.confirmations: list[tuple[float, int]] = []
        self.new_epochs = 0
        self.synchronizations = 0
        self.watch = self._build_watch()

    def _build_watch(self) -> MultiSourceWatch:
        handlers = WatchHandlers(
            self.received_events.append,
            on_synchronized=self._count_synchronization,
            on_epoch=self._count_epoch,
            on_confirmed=lambda age_ms, cursor: self.confirmations.append((age_ms, cursor)),
        )
        return MultiSourceWatch(
            WatchContext(reactor, self.deadlines, lambda: self.now_ms),
            SourceSelector([source.address for source in self.sources], lambda: 0.5),
            RETENTION_MS,
            PollIdentity(ROUTER_NAME, poll_query),
            handlers,
        )

    def _count_synchronization(self) -> None:
        self.synchronizations += 1

    def _count_epoch(self) -> None:
        self.new_epochs += 1

    @inlineCallbacks
    def wait_for_held_poll(self, source: ScriptedSource, polls: int = 1) -> Steps[None]:
        """Wait until a source holds a poll and has received at least this number of polls."""
        yield wait_until(lambda: len(source.polls) >= polls and source.held_poll is not None)

    def wait_until_due(self, condition: Callable[[], bool]) -> Deferred[None]:
        """Wait until a condition holds, while running deadlines that are due; the clock is not advanced."""

        def holds() -> bool:
            self.advance(0.0)
            return condition()

        return wait_until(holds)

    @inlineCallbacks
    def run_for(self, duration_ms: float, step_ms: float = STEP_MS) -> Steps[None]:
        """Advance the clock in steps; after each, running sources answer pending polls, and probes end."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.advance(min(step_ms, end_ms - self.now_ms))
            yield self.settle()

    @inlineCallbacks
    def settle(self) -> Steps[None]:
        """Wait until no connection attempt or probe is pending and each open poll was answered."""
        yield wait_until(self._is_settled)
        for source in self.sources:
            if source.held_poll is not None and source.status == OK and not source.is_hung:
                polls = len(source.polls)
                source.answer_held_poll()
                yield wait_until(lambda source=source, polls=polls: self._has_read_response(source, polls))
        yield wait_until(self._is_settled)

    def _is_settled(self) -> bool:
        """Whether there is no attempt to connect, no probe, and no poll that is still to be received."""
        if self.watch.is_connecting or self.watch.pending_probes:
            return False
        if self.watch.selected is None:
            return True
        connection = self.watch.connection
        if self.watch.address != self.watch.selected or connection is None:
            return False
        if connection.state is ConnectionState.PAUSED:
            return True
        source = next(source for source in self.sources if source.address == self.watch.selected)
        return source.held_poll is not None and (connection.polls > 0 or source.is_hung)

    def _has_read_response(self, source: ScriptedSource, polls: int) -> bool:
        """Whether the watch has polled again, pauses before it, or no longer polls the source."""
        connection = self.watch.connection
        return (
            len(source.polls) > polls
            or connection is None
            or connection.state is ConnectionState.PAUSED
            or self.watch.address != source.address
        )

    def purged_groups(self) -> list[int]:
        """The groups of all delivered purges."""
        return [event.group for event in self.received_events if not isinstance(event, ListChange)]

    def server_states(self) -> dict[str, str]:
        """The endpoint list that results from the delivered events."""
        states: dict[str, str] = {}
        for event in self.received_events:
            if isinstance(event, ListChange):
                if event.is_complete:
                    states = {}
                states |= {host.name: host.state.name for host in event.hosts}
        return states

    def polled_rank(self) -> int | None:
        """Rank of the polled source in the operators' order; None if there is none."""
        current = self.watch.selector.current
        return None if current is None else current.priority

    @inlineCallbacks
    def stop(self) -> Steps[None]:
        """Stop the watch and all sources."""
        self.watch.stop()
        if self.watch.connection is not None:
            self.watch.connection.close("test")
        else:
            self.watch.cancel_connecting()
        yield wait_until(lambda: self.watch.connection is None and not self.watch.is_connecting)
        for source in self.sources:
            yield source.kill()


class SourcesTestCase(TestCase):
    """Builds environments, which are stopped at the end of the test."""

    timeout = 60

    @inlineCallbacks
    def start(self, *epochs: str) -> Steps[SourcesEnvironment]:
        """Start a watch; returns once it has applied the first source's state.

        All sources have the same list and purge, but other numbers; those of later sources are lower.
        """
        environment = SourcesEnvironment(*epochs)
        self.addCleanup(environment.stop)
        sources = environment.sources
        for rank, source in enumerate(sources):
            source.number = 100 * (len(sources) - rank)
            source.publish_list(5, c1="active", c2="active").publish_purge(1, 10)
        environment.watch.start()
        yield environment.wait_for_held_poll(sources[0], 2)
        return environment
