"""Plays one scenario of the form of ``fleet_sim.scenario`` on a rig.  A step is done once all was seen that
stands beside the one before it; nothing waits for a time.  README.md says what differs from a simulation."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from functools import partial
from typing import Any

from fleet_sim.scenario import Expectation, Scenario, ScenarioSyntaxError, Step
from twisted.internet.error import ConnectError

from fleet_harness.admin_client import ask
from fleet_harness.environment import NeverSeenError, Rig
from fleet_harness.participants import Cast
from fleet_harness.steps import Acts


@dataclass(frozen=True, slots=True)
class Verdict:
    """How a scenario ended; ``why`` is empty where all was seen."""

    why: str
    seconds: float
    timeline: str


class Stage:
    """One scenario on one rig.  ScenarioSyntaxError for what a rig can't do."""

    def __init__(self, reactor: Any, scenario: Scenario, seed: int = 1) -> None:
        self.reactor, self.scenario = reactor, scenario
        if timed := [step for step in scenario.steps if step.at_ms or step.pause_ms]:
            raise ScenarioSyntaxError(f"line {timed[0].line}: a rig knows no times")
        lines = [line for step in scenario.steps for line in step.expectations]
        if ordered := [line for line in lines if line.ordered]:
            raise ScenarioSyntaxError(f"{ordered[0]}: a rig holds no order")
        self.rig = Rig(reactor, Cast.of(scenario), seed)
        self.acts = Acts(self.rig, scenario.timeout_ms)
        self.rig.on_event = self._forbid
        self.since, self.before = 0, dict[str, Mapping[str, int]]()
        self.forbidden: list[tuple[Expectation, int]] = [(line, 0) for line in scenario.forbidden]

    async def play(self) -> Verdict:
        """All steps, in order, to the first line that is not seen; every process is ended in the end."""
        why, since = "", self.reactor.seconds()
        try:
            for name in self.scenario.names:
                if name not in self.scenario.started_later:
                    await self.rig.start(name)
            await self.rig.until(self._settled, self.scenario.timeout_ms, "settled, before the first step")
            for step in self.scenario.steps:
                await self._play(step)
        except (NeverSeenError, ConnectError) as never:
            why = str(never)
        except (ValueError, LookupError) as error:
            why = f"line {step.line}: not an act: {' '.join(step.action)} ({error})"
        finally:
            seconds = self.reactor.seconds() - since
            await self.rig.stop()
        return Verdict(why, seconds, self.rig.record.timeline())

    async def _play(self, step: Step) -> None:
        record = self.rig.record
        self.since = len(record.entries)
        self.before = {name: dict(known.incarnations) for name, known in record.known.items()}
        never = [(line, self.since) for line in step.expectations if line.forbidden]
        self.forbidden = [(line, 0) for line in self.scenario.forbidden] + never
        await self.acts.do(step.action)
        for line in sorted(step.expectations, key=lambda line: line.words[0] == "door"):
            if line.words[0] == "door":
                await self._see_door(line)
            elif not line.forbidden:
                await self.rig.until(partial(self._seen, line), self.scenario.timeout_ms, str(line))
        await self.rig.until(lambda: True, 0.0, "what must not be seen")

    def _forbid(self) -> None:
        record = self.rig.record
        for line, since in self.forbidden:
            for name in line.nodes:
                if any(line.matches(name, text) for text in record.told(name, since)):
                    self.rig.give_up(f"seen at {name}: {line}")

    def _seen(self, line: Expectation) -> bool:
        record = self.rig.record
        if not line.nodes:
            return self._settled()
        if line.words[0] == "anew":
            return all(self._anew(name, line.words[1]) for name in line.nodes)
        if line.words[0] == "now":
            return all(self._stands(name, line) for name in line.nodes)
        return all(
            any(line.matches(name, text) for text in record.told(name, self.since)) for name in line.nodes
        )

    def _settled(self) -> bool:
        """Each router of the fleet that runs last said that it is with the majority, and all others alive."""
        running = self.rig.running - self.rig.cast.outside
        known = self.rig.record.known
        met = all(known[a].states.get(b) == "alive" for a in running for b in running - {a})
        return met and all(known[name].majority for name in running)

    def _stands(self, name: str, line: Expectation) -> bool:
        """The last that a router said on a matter since it started (``majority``, ``mode``, ``member N``)."""
        words = line.words[1:]
        matter = words[: 2 if words[0] == "member" else 1]
        said = [text.split() for text in self.rig.record.told(name, self.rig.record.begun[name])]
        last = [text for text in said if tuple(text[: len(matter)]) == matter][-1:]
        return any(replace(line, words=words).matches(name, " ".join(text)) for text in last)

    def _anew(self, name: str, other: str) -> bool:
        known, old = self.rig.record.known[name], self.before.get(name, {}).get(other, -1)
        return known.states.get(other) == "alive" and known.incarnations[other] > old

    async def _see_door(self, line: Expectation) -> None:
        """Asked once: what the door says must agree with what was logged."""
        text = " ".join(line.words[1:])
        for name in line.nodes:
            reply = await ask(self.reactor, self.rig.doors[name], "fleet")
            if not (reply.startswith("ACK\n") and reply.endswith("\n--\n") and text in reply):
                raise NeverSeenError(f"{line}: {reply!r}")
