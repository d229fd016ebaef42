"""Possible executions are recorded before an attempt is sent, and those of other processes are reported."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import pytest

from tests.core.scripted_ports import REQUEST, ScriptedPorts
from thornjunction import interface as api
from thornjunction.core.execution_sharing import ExecutionSharing

KEYED_REQUEST = replace(REQUEST, idempotency_key="k")
OWN = api.PossibleExecution(5.0, "here", 1)
FOREIGN = api.PossibleExecution(1.0, "here", 2)


@dataclass(slots=True)
class FakeStore:
    """A store in memory.

    Attributes:
        foreign: possible executions of another process; None: the store can't be read.
        appears_before_claim: one that the other process adds before the next claim.
        records: the claims that were accepted and not withdrawn.
    """

    foreign: tuple[api.PossibleExecution, ...] | None = ()
    appears_before_claim: tuple[api.PossibleExecution, ...] = ()
    records: dict[int, api.PossibleExecution] = field(default_factory=dict)

    def find(self, key: str) -> tuple[api.PossibleExecution, ...] | None:
        assert key == "k"
        return self.foreign

    def claim(
        self, key: str, execution: api.PossibleExecution, known: tuple[api.PossibleExecution, ...]
    ) -> int | None:
        assert key == "k"
        if self.foreign is not None:
            self.foreign += self.appears_before_claim
        self.appears_before_claim = ()
        if self.foreign is None or not set(self.foreign) <= set(known):
            return None
        number = len(self.records)
        self.records[number] = execution
        return number

    def withdraw(self, number: int) -> None:
        del self.records[number]


@dataclass(slots=True)
class SharingEngine:
    """An engine that shares its possible executions, and its scripted ports."""

    store: FakeStore
    ports: ScriptedPorts = field(default_factory=ScriptedPorts)

    def __post_init__(self) -> None:
        self.ports.engine.execution_sharing = ExecutionSharing(self.store, self.ports.engine.feed)

    def open(self, execution: api.PossibleExecution | None = OWN) -> None:
        """Open a keyed request whose router starts an attempt."""
        start = api.StartAttempt("0", "s", 500.0, "s", execution=execution)
        self.ports.scripted_actions = [[start]] if self.store.foreign is None else [[], [start]]
        self.ports.engine.open(KEYED_REQUEST, self.ports.answers.append)

    def reports(self) -> list[tuple[api.PossibleExecution, ...]]:
        """Return the executions of each report that the router was given."""
        return [event.executions for event in self.ports.events if isinstance(event, api.ExecutionsReported)]


def test_the_router_is_told_of_other_processes_before_it_decides() -> None:
    engine = SharingEngine(FakeStore(foreign=(FOREIGN,)))
    engine.open()
    assert isinstance(engine.ports.events[0], api.ExecutionsReported)
    assert isinstance(engine.ports.events[1], api.Request)
    assert engine.reports() == [(FOREIGN,)]
    assert engine.store.records == {0: OWN}
    assert len(engine.ports.sent) == 1


def test_an_attempt_that_the_other_process_preceded_is_not_sent_and_is_decided_again() -> None:
    """Two processes decide at the same time; the one that records later learns of the other's attempt."""
    engine = SharingEngine(FakeStore(appears_before_claim=(FOREIGN,)))
    engine.open()
    assert not engine.ports.sent
    assert not engine.store.records
    assert engine.reports() == [(), (FOREIGN,)]
    (ended,) = engine.ports.ended_attempts()
    assert (ended.status, ended.final) == (api.AttemptStatus.NOT_STARTED, False)
    assert engine.ports.events[-1] is ended


def test_a_store_that_fails_lets_no_keyed_attempt_be_sent() -> None:
    """A request is not sent rather than sent twice; what was known of other processes stays known."""
    engine = SharingEngine(FakeStore(foreign=None))
    engine.open()
    assert not engine.ports.sent
    assert not engine.reports()
    assert [ended.status for ended in engine.ports.ended_attempts()] == [api.AttemptStatus.NOT_STARTED]


def test_an_attempt_without_a_possible_execution_needs_no_record() -> None:
    engine = SharingEngine(FakeStore(foreign=None))
    engine.open(execution=None)
    assert len(engine.ports.sent) == 1


@pytest.mark.parametrize(
    ("status", "records"),
    [
        (api.AttemptStatus.OVERLOADED, {}),
        (api.AttemptStatus.CONNECTION_REFUSED, {}),
        (api.AttemptStatus.ERROR, {0: OWN}),
        (api.AttemptStatus.CONNECTION_RESET, {0: OWN}),
    ],
)
def test_only_a_proof_that_an_attempt_did_not_run_removes_its_record(
    status: api.AttemptStatus, records: dict[int, api.PossibleExecution]
) -> None:
    engine = SharingEngine(FakeStore())
    engine.open()
    engine.ports.engine.attempt_ended(engine.ports.sent[0].number, status)
    assert engine.store.records == records


def test_an_attempt_that_is_withdrawn_before_it_began_leaves_no_record() -> None:
    engine = SharingEngine(FakeStore())
    engine.open()
    engine.ports.attempts_wait = True
    engine.ports.engine.abandon(0)
    assert not engine.store.records
