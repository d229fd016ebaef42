"""Plays scenario files side by side in one reactor, a stated number at once."""

from __future__ import annotations

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from fleet_sim.scenario import load
from twisted.internet.defer import Deferred, DeferredSemaphore, gatherResults

from fleet_rig.stage import Stage


class Troupe:
    """All scenarios of a call.  One JSON line each: ``name``, ``why`` (empty where all was seen), ``seconds``
    and ``timeline``."""

    def __init__(self, reactor: Any, jobs: int) -> None:
        self.reactor, self.places = reactor, DeferredSemaphore(jobs)
        self.open: set[Stage] = set()
        self.missed = 0

    def play(self, paths: Sequence[Path]) -> Deferred[Any]:
        """Fires when all have ended."""
        return gatherResults([self.places.run(self._one, path) for path in paths], consumeErrors=True)

    def _one(self, path: Path) -> Deferred[None]:
        return Deferred.fromCoroutine(self._play(path))

    async def _play(self, path: Path) -> None:
        stage = Stage(self.reactor, load(path))
        self.open.add(stage)
        verdict = await stage.play()
        self.open.discard(stage)
        self.missed += bool(verdict.why)
        told = {"name": path.stem, "why": verdict.why, "seconds": round(verdict.seconds, 2)}
        print(json.dumps(told | {"timeline": verdict.timeline}), flush=True)

    def stop(self) -> Deferred[Any]:
        """End all that still plays."""
        return gatherResults([Deferred.fromCoroutine(stage.rig.stop()) for stage in self.open])
