"""All hollow routers of one process: started, ended as if killed, and asked what they know."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any

from fleet_scale.files import config_of
from fleet_scale.hollow import CountingReactor, HollowRouter, fleet_settings
from fleet_scale.tally import Tally
from thornjunction.runtime.addresses import Address
from thornjunction.runtime.config import Config, parse_config
from thornjunction.runtime.control_settings import ControlSettings
from thornjunction.runtime.extras import Extras

NAMED = 8  # at most, of those that are not as they should be


class Hollows:
    """``told``: ``sites`` (all names); ``routers``: each its ``name``, ``site``, ``channel``, ``sources``
    where it polls relays, and ``fleet`` where it is a member; ``folder`` for what a member keeps."""

    def __init__(self, reactor: Any, told: Mapping[str, Any]) -> None:
        self.told, self.counts, self.tally = told, Counter[str](), Tally()
        self.reactor = CountingReactor(reactor, self.counts)
        self.lines: dict[str, Mapping[str, Any]] = {line["name"]: line for line in told["routers"]}
        self.folder = Path(told["folder"])
        self.running: dict[str, HollowRouter] = {}
        self._configs: dict[str, Config] = {}
        self.start(self.lines)

    def start(self, names: Iterable[str]) -> None:
        """New lives, which know nothing."""
        for name in names:
            line = self.lines.get(name)
            if line is None or name in self.running:
                continue
            router = HollowRouter(self._config(line), self._extras(line), self.reactor, self.tally)
            self.running[name] = router
            router.start()

    def _extras(self, line: Mapping[str, Any]) -> Extras | None:
        """None for a plain router, as on the platform."""
        sources = tuple(Address(str(host), int(port)) for host, port in line.get("sources", ()))
        control = ControlSettings("", sources) if sources else None
        fleet = fleet_settings(line["fleet"], line["name"], self.folder) if "fleet" in line else None
        return Extras(fleet=fleet, control=control) if fleet or control else None

    def _config(self, line: Mapping[str, Any]) -> Config:
        site = line["site"]
        channel = Address(str(line["channel"][0]), int(line["channel"][1]))
        if site not in self._configs:
            told = config_of("hollow", site, self.told["sites"], channel, ("127.0.0.1", 9))
            self._configs[site] = parse_config(json.dumps(told).encode(), {})
        return replace(self._configs[site], name=line["name"], discovery=channel)

    def chosen(self, names: Iterable[str]) -> list[HollowRouter]:
        return [self.running[name] for name in names if name in self.running]

    def end(self, names: Iterable[str]) -> None:
        for name in names:
            router = self.running.pop(name, None)
            if router is not None:
                router.end()

    def sever(self, names: Iterable[str]) -> None:
        for router in self.chosen(names):
            router.sever()

    def state(self, names: Iterable[str] | None = None) -> dict[str, Any]:
        """Of these, or all: how many run; by digest of the list; purges seen (least and most), the highest
        numbers, repeats; who is least far, by name."""
        routers = self.chosen(self.running if names is None else names)
        seen = sorted((router.seen.count, router.config.name) for router in routers)
        return {
            "running": len(routers),
            "digests": Counter(router.digest() for router in routers),
            "seen": [seen[0][0], seen[-1][0]] if seen else [0, 0],
            "highest": min((router.seen.highest for router in routers), default=-1),
            "highest_of_any": max((router.seen.highest for router in routers), default=-1),
            "repeated": sum(router.seen.repeated for router in routers),
            "connected": sum(router.channel.connection is not None for router in routers),
            "least": [name for _, name in seen[:NAMED]],
        }

    def missing(self, first: int, last: int) -> int:
        """How many of these purges were not told to some router that runs."""
        wanted = range(first, last)
        return sum(
            1
            for router in self.running.values()
            for number in wanted
            if number >= len(router.seen.bits) or not router.seen.bits[number]
        )

    def members(self, names: Iterable[str]) -> dict[str, Any]:
        """What the members that run here last said of these, by state; and all their verdicts of failure."""
        wanted = set(names)
        states, verdicts = Counter[str](), Counter[str]()
        last = 0.0
        for router in self.running.values():
            if router.fleet is None:
                continue
            for name in wanted - {router.config.name}:
                state, when = router.members.get(name, ("unknown", 0.0))
                states[state] += 1
                last = max(last, when)
            verdicts.update(name for _, name in router.verdicts)
        return {"states": states, "verdicts": verdicts, "last": last}

    def figures(self) -> dict[str, Any]:
        ports = [router.fleet.port.counters for router in self.running.values() if router.fleet is not None]
        told = {"datagrams_in": sum(p.received for p in ports), "datagrams_out": sum(p.sent for p in ports)}
        return dict(self.counts) | told | {"routers": len(self.running)}
