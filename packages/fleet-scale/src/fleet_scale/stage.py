"""All processes of one run, put together by a topology and ended in every outcome."""

from __future__ import annotations

import json
import os
import shutil
import tempfile
import time
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from random import Random
from typing import Any

from fleet_scale.child import Process, Program, RunError, Worker, ask_all
from fleet_scale.files import Address, config_of, free_address, free_datagram_address, text_of, toml
from fleet_scale.plan import Changes, Purges
from fleet_scale.tally import Taken, merged
from fleet_scale.topology import Site, Topology

MEMORY_SHARE = 0.5  # of the machine's, that a run may hold
LEAST_FREE_MB = 300.0  # of the machine's memory, that a run leaves to others
LOOK_S = 0.1  # between looks at what is waited for
AHEAD_S = 0.5  # before a plan begins: all processes have it by then


@dataclass(frozen=True, slots=True)
class Options:
    """What of a topology is turned on.  ``linked``: routers poll across links; ``timings`` of members."""

    relays: bool = False
    linked: bool = False
    members: bool = False
    load_rate: float = 0.0  # requests a second to each whole router
    whole: bool = False
    join_ms: float = 150.0


class Stage:
    """A context manager.  RunError for what can't go on, the memory's bound and the run's end among it."""

    def __init__(
        self,
        topology: Topology,
        options: Options,
        most_s: float = 600.0,
        timings: Mapping[str, float] | None = None,
    ) -> None:
        self.topology, self.options, self.timings = topology, options, dict(timings or {})
        self.ended: set[str] = set()  # routers that were ended once
        self.sites = topology.sites()
        self.until = time.monotonic() + most_s
        self.draw = Random(os.urandom(8))  # for addresses alone
        self.folder = Path(tempfile.mkdtemp(prefix="fleet-scale-"))
        self.processes: list[Process] = []
        self.discoveries: list[Worker] = []
        self.links: list[Worker] = []
        self.hollows: list[Worker] = []
        self.relays: list[Program] = []
        self.wholes: list[Program] = []
        self.doors: dict[str, Address] = {}
        self.load: Worker | None = None
        self.sources: list[tuple[str, str, Address]] = []  # region, name, address of what routers poll
        self.next_purge, self.next_change = 0, 1
        self.ways: dict[tuple[str, str], Address] = {}  # by site and source
        self.routes: dict[Worker, frozenset[str]] = {}  # by the process that carries them
        self.groups: dict[Worker, frozenset[str]] = {}  # hollow routers by their process

    def __enter__(self) -> Stage:
        try:
            self._start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def stop(self) -> None:
        """End every process by its id, wait for each, remove all files."""
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()
        self.processes.clear()
        shutil.rmtree(self.folder, ignore_errors=True)

    # -- the start --

    def _start(self) -> None:
        shelfs = self._workers("shelf", [{}] * 3)
        ports = [reply["port"] for _, reply in shelfs]
        told = {"shelfs": self.topology.shelfs, "sites": [site.name for site in self.sites], "ports": ports}
        begun = self._workers("discovery", [told] * self.topology.discoveries)
        self.discoveries = [worker for worker, _ in begun]
        regions = list(self.topology.regions)
        for place, (worker, reply) in enumerate(begun):
            self.sources.append((regions[place % len(regions)], worker.name, ("127.0.0.1", reply["port"])))
        if self.options.relays:
            self._start_relays()
        if self.options.linked and self.topology.links:
            self._start_links()
        if self.options.whole:
            self._start_wholes()
        self._start_hollows()

    def _workers(self, role: str, settings: Sequence[Any]) -> list[tuple[Worker, dict[str, Any]]]:
        """Started side by side; each with its first reply."""
        workers = []
        for place, told in enumerate(settings):
            worker = Worker(role, f"{role}-{place + 1}", self.folder, told)
            self.processes.append(worker)
            workers.append(worker)
        return [(worker, worker.reply()) for worker in workers]

    def _program(self, name: str, config: Path | None, extras: Path | None) -> Program:
        program = Program(name, self.folder, config, extras)
        self.processes.append(program)
        return program

    def _start_relays(self) -> None:
        """From here on routers poll these."""
        upstreams = [text_of(address) for _, _, address in self.sources]
        found = []
        for place, region in enumerate(self.topology.relays):
            name, at, door = f"relay-{place + 1}", free_address(self.draw), free_address(self.draw)
            extras = self.folder / f"{name}.toml"
            told: dict[str, Any] = {"listen": text_of(at), "name": name, "admin_addr": text_of(door)}
            told |= {"upstreams": upstreams, "join_ms": self.options.join_ms}
            extras.write_text(toml("relay", told))
            self.relays.append(self._program(name, None, extras))
            self.doors[name] = door
            found.append((region, name, at))
        self.sources = found

    def _start_links(self) -> None:
        """A route from each site to what its routers poll, spread over the processes."""
        delays, count = self.topology.delays, self.topology.links
        lines: list[list[dict[str, Any]]] = [[] for _ in range(count)]
        for place, site in enumerate(self.sites):
            for region, name, address in self._near(site):
                far = delays.far if region != site.region else delays.region
                line = {"name": f"{site.name}>{name}", "target": address, "delay_ms": far}
                lines[place % count].append(line)
        begun = self._workers("links", [{"routes": some} for some in lines])
        self.links = [worker for worker, _ in begun]
        for worker, reply in begun:
            self.routes[worker] = frozenset(reply["ports"])
            for route, port in reply["ports"].items():
                site_name, _, source = route.partition(">")
                self.ways[site_name, source] = ("127.0.0.1", port)

    def _near(self, site: Site) -> list[tuple[str, str, Address]]:
        """What a site's routers poll: sources of their region first, then the others by turns."""
        own = [source for source in self.sources if source[0] == site.region]
        others = [source for source in self.sources if source[0] != site.region]
        turn = self.sites.index(site) % max(len(others), 1)
        return [*own, *others[turn:], *others[:turn]]

    def hold(self, routes: Sequence[str], ways: Sequence[str]) -> None:
        """Cut these ways (``forth``, ``back``) of routes by name, and heal their others."""
        for worker, ports in self.routes.items():
            worker.ask("hold", names=[route for route in routes if route in ports], ways=list(ways))

    def channel_of(self, site: Site) -> Address:
        """What its routers poll first."""
        _, name, address = self._near(site)[0]
        return self.ways.get((site.name, name), address)

    def _start_hollows(self) -> None:
        places = [(name, site) for site in self.sites for name in site.routers]
        voters = self._voters()
        addresses = {name: free_datagram_address(self.draw) for name, _ in places} if voters else {}
        seeds = [addresses[name] for name in voters]
        lines = []
        for name, site in places:
            line: dict[str, Any] = {"name": name, "site": site.name, "channel": self.channel_of(site)}
            if voters:
                line["fleet"] = {"listen": addresses[name], "seeds": seeds, "voters": voters}
                line["fleet"]["timings"] = self.timings
            lines.append(line)
        each = self.topology.hollow_each
        told = {"sites": [site.name for site in self.sites], "folder": str(self.folder / "members")}
        groups = [lines[begin : begin + each] for begin in range(0, len(lines), each)]
        begun = self._workers("hollow", [told | {"routers": group} for group in groups])
        self.hollows = [worker for worker, _ in begun]
        names = [frozenset(line["name"] for line in group) for group in groups]
        self.groups = dict(zip(self.hollows, names, strict=True))

    def _voters(self) -> list[str]:
        """The first router of a site of each voter's region."""
        if not self.options.members:
            return []
        by_region = {site.region: site.routers for site in reversed(self.sites) if site.routers}
        return [by_region[region][0] for region in dict.fromkeys(self.topology.voters)]

    def _start_wholes(self) -> None:
        fronts = []
        names = [site.name for site in self.sites]
        for place, region in enumerate(self.topology.whole):
            site = next(site for site in self.sites if site.region == region)
            name, front, door = f"whole-{place + 1}", free_address(self.draw), free_address(self.draw)
            config = self.folder / f"{name}.json"
            told = config_of(name, site.name, names, self.channel_of(site), front, door)
            config.write_text(json.dumps(told))
            self.wholes.append(self._program(name, config, None))
            self.doors[name] = door
            fronts.append(front)
        (self.load, _), *_ = self._workers("load", [{"fronts": fronts, "rate": self.options.load_rate}])

    # -- the plan --

    def purges(self, rate: float, count: int, past_s: float = 0.0) -> Purges:
        """Tell so many purges, from soon on."""
        plan = Purges(time.monotonic() + AHEAD_S, rate, count, self.next_purge, past_s)
        self.next_purge += count
        ask_all(self.discoveries, "plan", kind="purges", **asdict(plan))
        return plan

    def changes(self, every_s: float, count: int) -> Changes:
        """Tell so many changes of the list, from soon on."""
        plan = Changes(time.monotonic() + AHEAD_S, every_s, count, self.next_change)
        self.next_change += count
        ask_all(self.discoveries, "plan", kind="changes", **asdict(plan))
        return plan

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

    def digest(self) -> str:
        """The list as discovery has it now."""
        told = {reply["digest"] for reply in ask_all(self.discoveries, "figures")}
        if len(told) > 1:
            raise RunError("the discoveries differ")
        return str(told.pop())

    def in_step(self, names: Iterable[str] | None = None) -> bool:
        """Whether those routers hold discovery's list and were told the newest purge."""
        state = self.state(names)
        return list(state["digests"]) == [self.digest()] and state["highest"] == self.next_purge - 1

    def wait(self, holds: Callable[[], bool], within_s: float) -> float | None:
        """Seconds until something holds; None where it did not in time."""
        begun = time.monotonic()
        end = min(begun + within_s, self.until)
        while not holds():
            if time.monotonic() >= end:
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
