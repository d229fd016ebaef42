"""Plays scenario files side by side in one reactor, a stated number at once."""

from __future__ import annotations

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from fleet_sim.scenario import ScenarioSyntaxError, load
from twisted.internet.defer import Deferred, DeferredSemaphore, gatherResults

from fleet_harness.scenario_run import Stage, Verdict


class Troupe:
    """All scenarios of a call.  One JSON line each: ``name``, ``why`` (empty where all was seen), ``seconds``
    and ``timeline``."""

    def __init__(self, reactor: Any, jobs: int) -> None:
        self.reactor, self.places = reactor, DeferredSemaphore(jobs)
        self.open: set[Stage] = set()
        self.missed, self.stopping = 0, False

    def play(self, paths: Sequence[Path]) -> Deferred[Any]:
        """Fires when all have ended."""
        return gatherResults([self.places.run(self._one, path) for path in paths], consumeErrors=True)

    def _one(self, path: Path) -> Deferred[None]:
        return Deferred.fromCoroutine(self._play(path))

    async def _play(self, path: Path) -> None:
        if self.stopping:
            return
        try:
            stage = Stage(self.reactor, load(path))
        except (ScenarioSyntaxError, ValueError) as error:
            self._tell(path, Verdict(str(error), 0.0, ""))
            return
        self.open.add(stage)
        verdict = await stage.play()
        self.open.discard(stage)
        self._tell(path, verdict)

    def _tell(self, path: Path, verdict: Verdict) -> None:
        self.missed += bool(verdict.why)
        told = {"name": path.stem, "why": verdict.why, "seconds": round(verdict.seconds, 2)}
        print(json.dumps(told | {"timeline": verdict.timeline}), flush=True)

    def stop(self) -> Deferred[Any]:
        """End all that still plays, and begin no more."""
        self.stopping = True
        return gatherResults([Deferred.fromCoroutine(stage.rig.stop()) for stage in self.open])
