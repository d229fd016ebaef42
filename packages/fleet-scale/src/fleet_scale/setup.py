"""Starts all processes of a run, by a topology, and ends them in every outcome."""

from __future__ import annotations

import json
import os
import shutil
import tempfile
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any, Self

from fleet_scale.child import Process, Program, Worker
from fleet_scale.files import Address, config_of, free_address, free_datagram_address, text_of, toml
from fleet_scale.topology import Site, Topology

SHELFS = 3  # processes of stand-in shelfs


@dataclass(frozen=True, slots=True)
class Options:
    """What of a topology is turned on.  ``linked``: all polls pass links."""

    relays: bool = False
    linked: bool = False
    members: bool = False
    whole: bool = False
    load_rate: float = 0.0  # requests a second to each whole router
    join_ms: float = 150.0  # of relays
    polled: int = 2  # relays that a router is given


@dataclass(frozen=True, slots=True)
class Source:
    """What routers can poll: a discovery or a relay, and the region that it stands in."""

    name: str
    region: str
    address: Address


class Setup:
    """The processes of a run.  A context manager; RunError where one does not come up."""

    def __init__(
        self, topology: Topology, options: Options, timings: Mapping[str, float] | None = None
    ) -> None:
        self.topology, self.options, self.timings = topology, options, dict(timings or {})
        self.sites = topology.sites()
        self.draw = Random(os.urandom(8))  # for addresses alone
        self.folder = Path(tempfile.mkdtemp(prefix="fleet-scale-"))
        self.processes: list[Process] = []
        self.discoveries: list[Worker] = []
        self.links: list[Worker] = []
        self.hollows: list[Worker] = []
        self.relays: dict[str, Program] = {}
        self.wholes: list[Program] = []
        self.load: Worker | None = None
        self.doors: dict[str, Address] = {}  # of operators, by relay and whole router
        self.sources: list[Source] = []  # what routers poll
        self.ways: dict[tuple[str, str], Address] = {}  # by who polls (site or relay) and source
        self.routes: dict[Worker, frozenset[str]] = {}  # by the process that carries them
        self.groups: dict[Worker, frozenset[str]] = {}  # hollow routers by their process

    def __enter__(self) -> Self:
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

    def _start(self) -> None:
        shelfs = self._workers("shelf", [{}] * SHELFS)
        ports = [reply["port"] for _, reply in shelfs]
        told = {"shelfs": self.topology.shelfs, "sites": [site.name for site in self.sites], "ports": ports}
        begun = self._workers("discovery", [told] * self.topology.discoveries)
        self.discoveries = [worker for worker, _ in begun]
        regions = list(self.topology.regions)
        for place, (worker, reply) in enumerate(begun):
            address = "127.0.0.1", int(reply["port"])
            self.sources.append(Source(worker.name, regions[place % len(regions)], address))
        if self.options.relays:
            self._start_relays()
        self._link([(site.name, site.region) for site in self.sites])
        if self.options.whole:
            self._start_wholes()
        self._start_hollows()

    def _workers(self, role: str, settings: Sequence[Any]) -> list[tuple[Worker, dict[str, Any]]]:
        """Started side by side; each with its first reply."""
        before = sum(isinstance(one, Worker) and one.role == role for one in self.processes)
        workers = []
        for place, told in enumerate(settings):
            worker = Worker(role, f"{role}-{before + place + 1}", self.folder, told)
            self.processes.append(worker)
            workers.append(worker)
        return [(worker, worker.reply()) for worker in workers]

    def _program(self, name: str, config: Path | None, extras: Path | None) -> Program:
        program = Program(name, self.folder, config, extras)
        self.processes.append(program)
        return program

    def _start_relays(self) -> None:
        """From here on routers poll these."""
        places = [(f"relay-{place + 1}", region) for place, region in enumerate(self.topology.relays)]
        self._link(places)
        found = []
        for name, region in places:
            at, door = free_address(self.draw), free_address(self.draw)
            upstreams = [text_of(self.way(name, source)) for source in self.nearest(name, region)]
            told: dict[str, Any] = {"listen": text_of(at), "name": name, "admin_addr": text_of(door)}
            extras = self.folder / f"{name}.toml"
            extras.write_text(toml("relay", told | {"upstreams": upstreams, "join_ms": self.options.join_ms}))
            self.start_relay(name)
            self.doors[name] = door
            found.append(Source(name, region, at))
        self.sources = found

    def start_relay(self, name: str) -> None:
        """A new life, which knows nothing."""
        self.relays[name] = self._program(name, None, self.folder / f"{name}.toml")

    def kill_relay(self, name: str) -> None:
        relay = self.relays.pop(name)
        self.processes.remove(relay)
        relay.kill()
        relay.wait()

    def _link(self, places: Sequence[tuple[str, str]]) -> None:
        """A route from each place to each source, spread over the processes by places."""
        count = self.topology.links if self.options.linked else 0
        lines: list[list[dict[str, Any]]] = [[] for _ in range(count)]
        for turn, (name, region) in enumerate(places if count else ()):
            for source in self.sources:
                delays = self.topology.delays
                far = delays.region if source.region == region else delays.far
                line = {"name": f"{name}>{source.name}", "target": source.address, "delay_ms": far}
                lines[turn % count].append(line)
        for worker, reply in self._workers("links", [{"routes": some} for some in lines]):
            self.links.append(worker)
            self.routes[worker] = frozenset(reply["ports"])
            for route, port in reply["ports"].items():
                place, _, name = route.partition(">")
                self.ways[place, name] = "127.0.0.1", int(port)

    def way(self, place: str, source: Source) -> Address:
        """Where a place polls a source."""
        return self.ways.get((place, source.name), source.address)

    def nearest(self, place: str, region: str) -> list[Source]:
        """Sources of the own region first, then the others by turns."""
        own = [source for source in self.sources if source.region == region]
        others = [source for source in self.sources if source.region != region]
        turn = sum(place.encode()) % max(len(others), 1)
        return [*own, *others[turn:], *others[:turn]]

    def channel_of(self, site: Site) -> Address:
        """What its routers poll first."""
        return self.way(site.name, self.nearest(site.name, site.region)[0])

    def polled_of(self, site: Site) -> list[Address]:
        """The relays that its routers are given, in their order; none where they poll discovery."""
        near = self.nearest(site.name, site.region) if self.options.relays else []
        return [self.way(site.name, source) for source in near[: self.options.polled]]

    def _start_hollows(self) -> None:
        places = [(name, site) for site in self.sites for name in site.routers]
        voters = self._voters()
        addresses = {name: free_datagram_address(self.draw) for name, _ in places} if voters else {}
        seeds = [addresses[name] for name in voters]
        lines = []
        for name, site in places:
            line: dict[str, Any] = {"name": name, "site": site.name, "channel": self.channel_of(site)}
            line["sources"] = self.polled_of(site)
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
        """The first router of each voter's region; where none of them has any, the first of all."""
        if not self.options.members:
            return []
        by_region = {site.region: site.routers for site in reversed(self.sites) if site.routers}
        wanted = [region for region in dict.fromkeys(self.topology.voters) if region in by_region]
        return [by_region[region][0] for region in wanted or list(by_region)[:1]]

    def _start_wholes(self) -> None:
        fronts = []
        names = [site.name for site in self.sites]
        for place, region in enumerate(self.topology.whole):
            site = next(site for site in self.sites if site.region == region)
            name, front, door = f"whole-{place + 1}", free_address(self.draw), free_address(self.draw)
            config = self.folder / f"{name}.json"
            told = config_of(name, site.name, names, self.channel_of(site), front, door)
            config.write_text(json.dumps(told))
            polled, extras = [text_of(address) for address in self.polled_of(site)], None
            if polled:
                extras = self.folder / f"{name}.toml"
                extras.write_text(toml("control", {"sources": polled}))
            self.wholes.append(self._program(name, config, extras))
            self.doors[name] = door
            fronts.append(front)
        (self.load, _), *_ = self._workers("load", [{"fronts": fronts, "rate": self.options.load_rate}])
