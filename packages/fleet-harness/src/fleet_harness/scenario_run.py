"""Runs one scenario, in the format of ``fleet_sim.scenario``, on real routers.

A step begins once every expectation of the step before it was observed; steps have no times.  README.md
describes the differences from a simulation.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from functools import partial
from typing import Any

from fleet_sim.scenario import Expectation, Scenario, ScenarioSyntaxError, Step
from twisted.internet.error import ConnectError

from fleet_harness.admin_client import call_admin
from fleet_harness.environment import Environment
from fleet_harness.participants import Participants
from fleet_harness.steps import StepActions
from fleet_harness.waiting import Condition, NotObservedError


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of a scenario; ``failure`` is empty if every expectation was met."""

    failure: str
    seconds: float
    timeline: str


@dataclass(frozen=True, slots=True)
class ForbiddenEvent:
    """An event that must not occur in the entries of the record from ``first_entry`` on."""

    expectation: Expectation
    first_entry: int


class ScenarioRun:
    """One scenario in its environment; raises ScenarioSyntaxError for unsupported steps."""

    def __init__(self, reactor: Any, scenario: Scenario, seed: int = 1) -> None:
        _check_supported(scenario)
        self._reactor = reactor
        self._scenario = scenario
        self._environment = Environment(reactor, Participants.from_scenario(scenario), seed)
        self._environment.on_event = self._check_forbidden
        self._events = self._environment.events
        self._actions = StepActions(self._environment, scenario.timeout_ms)
        self._step_first_entry = 0
        self._incarnations_before: dict[str, Mapping[str, int]] = {}
        self._forbidden = self._forbidden_always()

    async def run(self) -> Verdict:
        """Carry out the steps until an expectation is not met; then end every process."""
        started_at_s = self._reactor.seconds()
        try:
            failure = await self._run_steps()
        finally:
            seconds = self._reactor.seconds() - started_at_s
            await self.stop()
        return Verdict(failure, seconds, self._events.timeline())

    async def stop(self) -> None:
        """End every process of the scenario."""
        await self._environment.stop()

    async def _run_steps(self) -> str:
        """Return why the scenario failed; an empty text if it did not."""
        try:
            for name in self._scenario.names:
                if name not in self._scenario.started_later:
                    await self._environment.start(name)
            await self._wait_until(self._settled, "all routers have settled before the first step")
            for step in self._scenario.steps:
                await self._run_step(step)
        except (NotObservedError, ConnectError) as error:
            return str(error)
        except (ValueError, LookupError) as error:
            return f"line {step.line}: not an action: {' '.join(step.action)} ({error})"
        return ""

    async def _run_step(self, step: Step) -> None:
        self._step_first_entry = len(self._events.entries)
        self._incarnations_before = {
            name: dict(view.incarnations) for name, view in self._events.views.items()
        }
        self._forbidden = self._forbidden_always() + [
            ForbiddenEvent(expectation, self._step_first_entry)
            for expectation in step.expectations
            if expectation.forbidden
        ]
        await self._actions.perform(step.action)
        # The admin endpoints are called last, because their replies must agree with what was logged.
        for expectation in sorted(step.expectations, key=_asks_admin_endpoint):
            if _asks_admin_endpoint(expectation):
                await self._check_admin_reply(expectation)
            elif not expectation.forbidden:
                await self._wait_until(partial(self._observed, expectation), str(expectation))
        self._environment.waiter.raise_if_aborted()

    async def _wait_until(self, condition: Condition, description: str) -> None:
        await self._environment.waiter.wait_until(condition, self._scenario.timeout_ms, description)

    def _forbidden_always(self) -> list[ForbiddenEvent]:
        return [ForbiddenEvent(expectation, 0) for expectation in self._scenario.forbidden]

    def _check_forbidden(self) -> None:
        for forbidden in self._forbidden:
            expectation = forbidden.expectation
            for name in expectation.nodes:
                if self._logged(name, expectation, forbidden.first_entry):
                    self._environment.waiter.abort(f"forbidden event at {name}: {expectation}")

    def _logged(self, name: str, expectation: Expectation, first_entry: int) -> bool:
        return any(expectation.matches(name, text) for text in self._events.notices(name, first_entry))

    def _observed(self, expectation: Expectation) -> bool:
        if not expectation.nodes:
            return self._settled()
        kind, *arguments = expectation.words
        if kind == "anew":
            return all(self._restarted(name, arguments[0]) for name in expectation.nodes)
        if kind == "now":
            return all(self._last_logged(name, expectation) for name in expectation.nodes)
        return all(self._logged(name, expectation, self._step_first_entry) for name in expectation.nodes)

    def _settled(self) -> bool:
        """Return whether each running member last logged a majority, and the other running ones as alive."""
        running = self._environment.expected_running - self._environment.participants.non_members
        views = self._events.views
        return all(
            views[name].has_majority and views[name].alive_members() >= running - {name} for name in running
        )

    def _last_logged(self, name: str, expectation: Expectation) -> bool:
        """Return whether the last event that a router's process logged on a subject matches.

        The subject is ``majority``, ``mode`` or ``member NAME``.
        """
        words = expectation.words[1:]
        subject_length = 2 if words[0] == "member" else 1
        subject = list(words[:subject_length])
        texts = [text.split() for text in self._events.notices(name, self._events.first_entries[name])]
        texts_on_subject = [text for text in texts if text[:subject_length] == subject]
        if not texts_on_subject:
            return False
        return replace(expectation, words=words).matches(name, " ".join(texts_on_subject[-1]))

    def _restarted(self, name: str, member: str) -> bool:
        """Return whether a router reports a member alive, with a higher incarnation than before the step."""
        view = self._events.views[name]
        incarnation_before = self._incarnations_before.get(name, {}).get(member, -1)
        return view.states.get(member) == "alive" and view.incarnations[member] > incarnation_before

    async def _check_admin_reply(self, expectation: Expectation) -> None:
        """Call each admin endpoint once; raises NotObservedError if a reply lacks the expected text."""
        text = " ".join(expectation.words[1:])
        for name in expectation.nodes:
            reply = await call_admin(self._reactor, self._environment.admin_addresses[name], "fleet")
            complete = reply.startswith("ACK\n") and reply.endswith("\n--\n")
            if not complete or text not in reply:
                message = f"{expectation}: not in the reply {reply!r}"
                raise NotObservedError(message)


def _asks_admin_endpoint(expectation: Expectation) -> bool:
    return expectation.words[0] == "door"


def _check_supported(scenario: Scenario) -> None:
    for step in scenario.steps:
        if step.at_ms or step.pause_ms:
            raise ScenarioSyntaxError.at_line(step.line, "the harness does not support times")
    for step in scenario.steps:
        for expectation in step.expectations:
            if expectation.ordered:
                message = f"{expectation}: the harness does not check the order"
                raise ScenarioSyntaxError(message)
