"""Runs scenario files concurrently in one reactor, at most a given number at a time."""

from __future__ import annotations

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from fleet_sim.scenario import load
from twisted.internet.defer import Deferred, DeferredSemaphore, gatherResults

from fleet_harness.scenario_run import ScenarioRun, Verdict


class ScenarioBatch:
    """The scenarios of one command; ``failed`` counts those with an error or an unmet expectation.

    Prints one JSON line for each scenario: ``name``, ``why`` (the failure, or an empty text), ``seconds`` and
    ``timeline``.
    """

    def __init__(self, reactor: Any, jobs: int) -> None:
        self.failed = 0
        self._reactor = reactor
        self._jobs = DeferredSemaphore(jobs)
        self._running: set[ScenarioRun] = set()
        self._stopping = False

    def run(self, paths: Sequence[Path]) -> Deferred[Any]:
        """Run all scenario files; fires once they have ended."""
        return gatherResults([self._jobs.run(self._start, path) for path in paths], consumeErrors=True)

    def stop(self) -> Deferred[Any]:
        """End the running scenarios and start no further ones; fires once they have ended."""
        self._stopping = True
        return gatherResults([Deferred.fromCoroutine(run.stop()) for run in self._running])

    def _start(self, path: Path) -> Deferred[None]:
        return Deferred.fromCoroutine(self._run(path))

    async def _run(self, path: Path) -> None:
        if self._stopping:
            return
        try:
            run = ScenarioRun(self._reactor, load(path))
        except ValueError as error:  # also ScenarioSyntaxError
            self._report(path, Verdict(str(error), 0.0, ""))
            return
        self._running.add(run)
        verdict = await run.run()
        self._running.discard(run)
        self._report(path, verdict)

    def _report(self, path: Path, verdict: Verdict) -> None:
        if verdict.failure:
            self.failed += 1
        line = {
            "name": path.stem,
            "why": verdict.failure,
            "seconds": round(verdict.seconds, 2),
            "timeline": verdict.timeline,
        }
        print(json.dumps(line), flush=True)
