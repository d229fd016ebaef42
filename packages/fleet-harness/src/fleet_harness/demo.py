"""A demo fleet: routers that discover each other and run until this program ends."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from twisted.internet.defer import Deferred

from fleet_harness.environment import Environment
from fleet_harness.participants import Participants

# Milliseconds within which all routers must know each other; it takes some seconds on an idle machine.
START_TIMEOUT_MS = 30_000.0


class Demo:
    """A fleet that runs until it is stopped."""

    def __init__(self, reactor: Any, names: Sequence[str]) -> None:
        self._environment = Environment(reactor, Participants(tuple(names)))
        self._entries_printed = 0

    async def run(self) -> None:
        """Start all routers, wait until each knows the others, and print their endpoints and instructions."""
        environment = self._environment
        for name in environment.names:
            await environment.start(name)
        print("starting", *environment.names, flush=True)
        await environment.waiter.wait_until(self._all_known, START_TIMEOUT_MS, "all routers know each other")
        print(self._instructions(), flush=True)
        self._entries_printed = len(environment.events.entries)
        environment.on_event = self._print_new_entries

    def stop(self) -> Deferred[None]:
        """End all routers; fires once they have ended."""
        return Deferred.fromCoroutine(self._environment.stop())

    def _print_new_entries(self) -> None:
        entries = self._environment.events.entries
        for entry in entries[self._entries_printed :]:
            print(f"{entry.at_ms / 1000.0:9.3f} s  {entry.node}: {entry.text}", flush=True)
        self._entries_printed = len(entries)

    def _all_known(self) -> bool:
        names = set(self._environment.names)
        views = self._environment.events.views
        return all(views[name].alive_members() >= names - {name} for name in names)

    def _instructions(self) -> str:
        """Return each router's process id and admin endpoint, with instructions for their use."""
        environment = self._environment
        lines = [f"{len(environment.names)} routers of one fleet run on loopback and know each other:"]
        for name in environment.names:
            host, port = environment.admin_addresses[name]
            lines.append(f"  {name}: process {environment.processes[name].pid}, admin endpoint {host}:{port}")
        host, port = environment.admin_addresses[environment.names[0]]
        lines += [
            f"List the members that a router knows:  printf 'fleet\\n' | nc {host} {port}",
            "End one gracefully with SIGTERM, at once with SIGKILL, or pause it with SIGSTOP and SIGCONT,",
            "and see here what the others log.  SIGTERM or Ctrl-C to this program ends all of them.",
        ]
        return "\n".join(lines)
