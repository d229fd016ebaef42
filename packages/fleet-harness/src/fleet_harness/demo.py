"""Three routers that know each other, for a newcomer: started, described, and ended with this program."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from twisted.internet.defer import Deferred

from fleet_harness.environment import Rig
from fleet_harness.participants import Cast

WITHIN_MS = 30_000.0


class Demo:
    """A rig that runs until it is told to stop."""

    def __init__(self, reactor: Any, names: Sequence[str]) -> None:
        self.rig = Rig(reactor, Cast(tuple(names)))
        self.shown = 0

    async def play(self) -> None:
        """Start all, wait until each knows the others, and say what can be tried."""
        for name in self.rig.names:
            await self.rig.start(name)
        print("starting", *self.rig.names, flush=True)
        await self.rig.until(self._all_known, WITHIN_MS, "all routers know each other")
        print(self.greeting(), flush=True)
        self.shown = len(self.rig.record.entries)
        self.rig.on_event = self._show

    def _show(self) -> None:
        """Print what was not printed yet of what routers said and of their ends."""
        entries = self.rig.record.entries
        for entry in entries[self.shown :]:
            print(f"{entry.at_ms / 1000.0:9.3f} s  {entry.node}: {entry.text}", flush=True)
        self.shown = len(entries)

    def _all_known(self) -> bool:
        known = self.rig.record.known
        names = set(self.rig.names)
        return all(
            {other for other, state in known[name].states.items() if state == "alive"} >= names - {name}
            for name in names
        )

    def greeting(self) -> str:
        """Each router's process and door, and what to do with them."""
        lines = [f"{len(self.rig.names)} routers of one fleet run on loopback and know each other:"]
        for name in self.rig.names:
            host, port = self.rig.doors[name]
            lines.append(f"  {name}: process {self.rig.nodes[name].pid}, operators' door {host}:{port}")
        host, port = self.rig.doors[self.rig.names[0]]
        return "\n".join(
            [
                *lines,
                f"Ask one what it knows:  printf 'fleet\\n' | nc {host} {port}",
                "End one in order with SIGTERM, at once with SIGKILL, or hold it with SIGSTOP and SIGCONT,",
                "and see here what the others say.  SIGTERM or Ctrl-C here ends them all.",
            ]
        )

    def stop(self) -> Deferred[None]:
        return Deferred.fromCoroutine(self.rig.stop())
