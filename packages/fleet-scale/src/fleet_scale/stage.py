"""A run on its way: what discovery is told to tell, what routers know, what is waited for."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Any

from fleet_scale.child import RunError, ask_all
from fleet_scale.plan import Changes, Purges
from fleet_scale.setup import Options, Setup
from fleet_scale.tally import Taken, merged
from fleet_scale.topology import Topology

MEMORY_SHARE = 0.5  # of the machine's, that a run may hold
LEAST_FREE_MB = 300.0  # of the machine's memory, that a run leaves to others
LOOK_S = 0.1  # between looks at what is waited for
AHEAD_S = 0.5  # before a plan begins: all processes have it by then


class Stage(Setup):
    """RunError for what can't go on, the memory's bound and the run's end (``most_s`` from here) among it."""

    def __init__(
        self,
        topology: Topology,
        options: Options,
        most_s: float = 600.0,
        timings: Mapping[str, float] | None = None,
    ) -> None:
        super().__init__(topology, options, timings)
        self.until = time.monotonic() + most_s
        self.ended: set[str] = set()  # routers that were ended once
        self.next_purge, self.next_change = 0, 1

    # -- the plan --

    def purges(self, rate: float, count: int) -> Purges:
        """Tell so many purges, from soon on."""
        return self._plan(Purges(time.monotonic() + AHEAD_S, rate, count, self.reserve(count)))

    def reserve(self, count: int) -> int:
        """Numbers for so many purges; the first of them."""
        self.next_purge += count
        return self.next_purge - count

    def past(self, first: int, count: int, past_s: float) -> Purges:
        """So many were told over so long, and those in step know them: from soon on, all others are that far
        behind."""
        return self._plan(Purges(time.monotonic() + AHEAD_S, 0.0, count, first, past_s))

    def _plan(self, plan: Purges) -> Purges:
        ask_all(self.discoveries, "plan", kind="purges", **asdict(plan))
        return plan

    def changes(self, every_s: float, count: int) -> Changes:
        """Tell so many changes of the list, from soon on."""
        plan = Changes(time.monotonic() + AHEAD_S, every_s, count, self.next_change)
        self.next_change += count
        ask_all(self.discoveries, "plan", kind="changes", **asdict(plan))
        return plan

    def hold(self, routes: Sequence[str], ways: Sequence[str]) -> None:
        """Cut these ways (``forth``, ``back``) of routes by name, and heal their others."""
        for worker, ports in self.routes.items():
            worker.ask("hold", names=[route for route in routes if route in ports], ways=list(ways))

    def taken(self, plan: Purges | Changes, apart: Sequence[str] = ()) -> dict[int, Taken]:
        """Who took what of a plan, and when, over all processes but those that hold one of ``apart``."""
        beside = [hollow for hollow in self.hollows if not self.groups[hollow] & set(apart)]
        kind = "purges" if isinstance(plan, Purges) else "changes"
        numbers = plan.numbers()
        replies = ask_all(beside, "taken", kind=kind, first=numbers.start, last=numbers.stop)
        return merged([reply["taken"] for reply in replies])

    # -- what is known --

    def state(self, names: Iterable[str] | None = None) -> dict[str, Any]:
        """Of all hollow routers, or those; see ``Hollows.state``."""
        wanted = list(names) if names is not None else None
        replies = [r for r in ask_all(self.hollows, "state", names=wanted) if r["running"]]
        digests = Counter[str]()
        for reply in replies:
            digests.update(reply["digests"])
        return {
            "running": sum(reply["running"] for reply in replies),
            "digests": digests,
            "least": min((reply["seen"][0] for reply in replies), default=0),
            "most": max((reply["seen"][1] for reply in replies), default=0),
            "highest": min((reply["highest"] for reply in replies), default=-1),
            "highest_of_any": max((reply["highest_of_any"] for reply in replies), default=-1),
            "repeated": sum(reply["repeated"] for reply in replies),
            "connected": sum(reply["connected"] for reply in replies),
            "names": [name for reply in replies for name in reply["least"]][:8],
        }

    def digests(self) -> list[str]:
        """The list as discovery has it now; two only for the moment in which one process is later."""
        return sorted({str(reply["digest"]) for reply in ask_all(self.discoveries, "figures")})

    def in_step(self, names: Iterable[str] | None = None) -> bool:
        """Whether all that was planned has been told, and those routers hold discovery's list and were told
        the newest purge."""
        if any(reply["planned"] for reply in ask_all(self.discoveries, "figures")):
            return False
        state = self.state(names)
        return sorted(state["digests"]) == self.digests() and state["highest"] == self.next_purge - 1

    def wait(self, holds: Callable[[], bool], within_s: float) -> float | None:
        """Seconds until something holds; None where it did not in time.  RunError past the run's end."""
        begun = time.monotonic()
        while not holds():
            now = time.monotonic()
            if now >= self.until:
                raise RunError("the run took longer than it may")
            if now >= begun + within_s:
                return None
            time.sleep(LOOK_S)
        return time.monotonic() - begun

    def pause(self, seconds: float) -> None:
        """Let time pass; RunError past the run's end, or its memory's bound."""
        time.sleep(max(min(seconds, self.until - time.monotonic()), 0.0))
        self.check()

    def check(self) -> None:
        if time.monotonic() >= self.until:
            raise RunError("the run took longer than it may")
        held = sum(process.usage()["mb"] for process in self.processes)
        whole, free = _memory_mb()
        if held > MEMORY_SHARE * whole or free < LEAST_FREE_MB:
            raise RunError(f"memory: {held:.0f} MB held of {whole:.0f}, {free:.0f} free")


def _memory_mb() -> tuple[float, float]:
    told = dict(line.split(":") for line in Path("/proc/meminfo").read_text().splitlines())
    kb = [float(told[key].split()[0]) for key in ("MemTotal", "MemAvailable")]
    return kb[0] / 1024.0, kb[1] / 1024.0
