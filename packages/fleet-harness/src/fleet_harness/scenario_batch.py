"""Runs scenario files side by side in one reactor, a given number at once."""

from __future__ import annotations

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from fleet_sim.scenario import load
from twisted.internet.defer import Deferred, DeferredSemaphore, gatherResults

from fleet_harness.scenario_run import ScenarioRun, Verdict


class ScenarioBatch:
    """The scenarios of one call; ``failed`` counts those with an expectation that was not met.

    Prints one JSON line for each: ``name``, ``why`` (the failure, empty if there is none), ``seconds`` and
    ``timeline``.
    """

    def __init__(self, reactor: Any, jobs: int) -> None:
        self.failed = 0
        self._reactor = reactor
        self._jobs = DeferredSemaphore(jobs)
        self._running: set[ScenarioRun] = set()
        self._stopping = False

    def run(self, paths: Sequence[Path]) -> Deferred[Any]:
        """Run all; fires once they have ended."""
        return gatherResults([self._jobs.run(self._start, path) for path in paths], consumeErrors=True)

    def stop(self) -> Deferred[Any]:
        """End all that run, and start no more; fires once they have ended."""
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
