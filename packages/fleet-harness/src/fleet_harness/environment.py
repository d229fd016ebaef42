"""A fleet on one machine: stand-ins, relays and router processes, and what can be done to them."""

from __future__ import annotations

import shutil
import signal
import tempfile
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.threads import deferToThread

from fleet_harness.event_record import Record
from fleet_harness.participants import Cast
from fleet_harness.router_files import start_standins, write_config, write_extras
from fleet_harness.router_process import Node
from fleet_harness.udp_relay import Address, Relay

END_MS = 10_000.0  # from a signal to the exit, a drain between them
MOST_STARTS = 5  # of one life, where a port was taken between its draw and its use


class NeverSeenError(Exception):
    """What was waited for did not come in time."""


class Rig:
    """The routers of a cast.  Made with the reactor that is to run; ``stop`` ends all."""

    def __init__(self, reactor: Any, cast: Cast, seed: int = 1) -> None:
        self.reactor, self.cast, self.names = reactor, cast, cast.names
        self.folder = Path(tempfile.mkdtemp(prefix="fleet-harness-"))
        since = reactor.seconds()
        self.record = Record(lambda: float(reactor.seconds() - since) * 1000.0)
        self.relay = Relay(reactor, seed)
        self.nodes: dict[str, Node] = {}
        self.doors: dict[str, Address] = {}
        self.starts: dict[str, int] = {}
        self.running: set[str] = set()  # those that are to run, paused ones too
        self.calls: list[Any] = []
        self.on_event: Callable[[], None] = lambda: None
        self.broken = ""
        self.waiters: list[tuple[Callable[[], bool], Deferred[None]]] = []
        for name in self.names:
            self.relay.add(name)
        self.channel = start_standins(reactor)

    # -- lives --

    async def start(self, name: str) -> None:
        """A new life, with what the folder holds of those before it."""
        await self.ended(name)
        self.starts[name] = 0
        self.running.add(name)
        self._spawn(name)

    def _spawn(self, name: str) -> None:
        self.starts[name] += 1
        folder = self.folder / name
        folder.mkdir(exist_ok=True)
        self.doors[name] = write_config(folder, name, self.channel)
        public, cast = self.relay.public, self.cast
        seeds = [public[seed] for seed in cast.seeds(name)]
        write_extras(folder, public[name], seeds, cast.secret(name), cast.settings(name))
        self.record.begin(name)
        self.nodes[name] = node = Node(name, self._heard)
        node.start(self.reactor, folder / "config.json", folder / "extras.toml")

    async def ended(self, name: str) -> None:
        """Until the last life is over, if there was one; NeverSeenError past a bound."""
        node = self.nodes.get(name)
        if node is not None:
            await self.until(lambda: node.ended.called, END_MS, f"the end of {name}")

    def forget(self, name: str) -> None:
        """Remove a router's data, as a lost disk would."""
        shutil.rmtree(self.folder / name / "data", ignore_errors=True)

    def tear(self, name: str) -> None:
        """Cut each file of a router's data in half, as a disk that lied about an fsync might."""
        for path in (self.folder / name / "data").iterdir():
            path.write_bytes(path.read_bytes()[: path.stat().st_size // 2])

    def signal(self, name: str, number: int) -> None:
        said = {signal.SIGKILL: "killed", signal.SIGSTOP: "paused", signal.SIGCONT: "continued"}
        if number in said:
            self.record.life(name, said[signal.Signals(number)])
        else:
            self.record.fault(f"{signal.Signals(number).name} to {name}")
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.running.discard(name)
        self.nodes[name].signal(number)

    def _heard(self, name: str, event: str, fields: Mapping[str, Any]) -> None:
        self.record.heard(name, event, fields)
        self.on_event()
        if event == "fleet-listening":
            self.relay.register(name, ("127.0.0.1", int(fields["port"])))
        elif event == "exit":
            self._exited(name)
        self._look()

    def _exited(self, name: str) -> None:
        self.relay.real.pop(name, None)
        self.record.life(name, "ended")
        if "cannot-listen" in self.record.known[name].events and self.starts[name] < MOST_STARTS:
            self._spawn(name)
        elif name in self.running:
            self.running.discard(name)
            self.give_up(f"{name} ended by itself")

    # -- waiting --

    def give_up(self, why: str) -> None:
        """End all waiting, and what is still to be waited for."""
        self.broken = self.broken or why
        waiters, self.waiters = self.waiters, []
        for _, fired in waiters:
            fired.errback(NeverSeenError(why))

    def _look(self) -> None:
        for waiter in list(self.waiters):
            holds, fired = waiter
            if holds():
                self.waiters.remove(waiter)
                fired.callback(None)

    async def until(self, holds: Callable[[], bool], within_ms: float, what: str) -> None:
        """Until something holds that an event or a passed datagram brings about.  NeverSeenError past the
        bound, and where a router ended that was to run."""
        if self.broken:
            raise NeverSeenError(self.broken)
        if holds():
            return
        fired: Deferred[None] = Deferred()
        waiter = holds, fired
        self.waiters.append(waiter)
        late = self.reactor.callLater(within_ms / 1000.0, self._late, waiter, what)
        try:
            await fired
        finally:
            if late.active():
                late.cancel()

    def _late(self, waiter: tuple[Callable[[], bool], Deferred[None]], what: str) -> None:
        if waiter in self.waiters:
            self.waiters.remove(waiter)
            waiter[1].errback(NeverSeenError(f"not seen in time: {what}"))

    async def traffic(self, datagrams: int, within_ms: float) -> None:
        """Until so many more datagrams have passed the relays: time as the fleet itself counts it."""
        wanted = self.relay.counts["passed"] + datagrams
        self.relay.on_pass = self._look
        await self.until(lambda: self.relay.counts["passed"] >= wanted, within_ms, f"{datagrams} datagrams")
        self.relay.on_pass = None

    def cut(self, links: Sequence[tuple[str, str]], cut: bool) -> None:
        """Cut or heal; only what changes is drawn."""
        for source, target in links:
            link = self.relay.links[source, target]
            if link.cut is not cut:
                link.cut = cut
                self.record.link(source, target, cut)

    def every(self, ms: float, call: Callable[[], None]) -> None:
        """Call at once and then again and again, until ``quiet``."""
        call()
        self.calls.append(self.reactor.callLater(ms / 1000.0, self._again, ms, call))

    def _again(self, ms: float, call: Callable[[], None]) -> None:
        self.calls = [later for later in self.calls if later.active()]
        self.every(ms, call)

    def quiet(self) -> None:
        """End what ``every`` began."""
        for later in self.calls:
            if later.active():
                later.cancel()
        self.calls = []

    # -- the end --

    async def stop(self) -> None:
        """End every process by its id, wait for each, and remove all files."""
        self.quiet()
        self.running.clear()
        self.starts = dict.fromkeys(self.starts, MOST_STARTS)
        self.give_up("stopped")
        for node in self.nodes.values():
            node.signal(signal.SIGKILL)
        for node in self.nodes.values():
            if node.pid is not None:
                await node.ended
        await self.relay.stop()
        # Beside the reactor: a slow disk would hold up the relays of all other scenarios.
        await deferToThread(shutil.rmtree, self.folder, True)
