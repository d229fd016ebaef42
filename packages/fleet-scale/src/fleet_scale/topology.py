"""The topology of a run, read from a TOML file: regions, zones, sites, and the processes in them."""

from __future__ import annotations

import math
import string
import tomllib
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from fleet_scale.errors import TopologyError

# The folder of the topology files that the package ships.
TOPOLOGY_FOLDER = Path(__file__).resolve().parent

MAX_ROUTERS = 2000
MAX_CACHE_SERVERS = 4096
MAX_DISCOVERIES = 8
MAX_PROXIES = 8
MAX_RELAYS = 14
MAX_FULL_ROUTERS = 9
MAX_REGIONS = 32
MAX_ZONES_PER_REGION = 8
MAX_SITES_PER_ZONE = 16
MAX_DELAY_MS = 1000.0
# Limit on the hollow routers in one process.
MAX_HOLLOW_ROUTERS_PER_PROCESS = 200
# Limits on the number of processes of hollow routers.
MIN_HOLLOW_PROCESSES = 4
MAX_HOLLOW_PROCESSES = 64


@dataclass(frozen=True, slots=True)
class Site:
    """A site: its name, the names of its zone and region, and the names of its routers."""

    name: str
    zone: str
    region: str
    routers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Delays:
    """One-way delays to a target in the same zone, in the same region, and in another region."""

    zone_ms: float
    region_ms: float
    remote_ms: float


@dataclass(frozen=True, slots=True)
class Topology:
    """Everything that a run starts.  ``relays``, ``full_routers`` and ``voters`` list the region of each one.

    ``regions`` maps the name of a region to the number of sites in each of its zones.
    """

    routers: int
    cache_servers: int
    hollow_routers_per_process: int
    discoveries: int
    proxies: int
    relays: tuple[str, ...]
    full_routers: tuple[str, ...]
    voters: tuple[str, ...]
    delays: Delays
    regions: Mapping[str, Sequence[int]]

    def sites(self) -> tuple[Site, ...]:
        """Return all sites, with the routers spread over them as evenly as possible."""
        locations = list(self._locations())
        ends = [self.routers * (index + 1) // len(locations) for index in range(len(locations))]
        begins = [0, *ends[:-1]]
        return tuple(
            Site(name, zone, region, tuple(f"{name}-{number + 1:02d}" for number in range(end - begin)))
            for (name, zone, region), begin, end in zip(locations, begins, ends, strict=True)
        )

    def _locations(self) -> Iterator[tuple[str, str, str]]:
        """Yield the name, the zone and the region of each site."""
        for region, zones in self.regions.items():
            for letter, site_count in zip(string.ascii_lowercase, zones, strict=False):
                zone = f"{region}{letter}"
                for number in range(1, site_count + 1):
                    yield f"{zone}{number}", zone, region

    def zones(self) -> tuple[str, ...]:
        """Return the names of all zones, in the order of their sites."""
        return tuple(dict.fromkeys(site.zone for site in self.sites()))

    def resized(self, routers: int = 0, cache_servers: int = 0, relays: int = -1) -> Topology:
        """Return the same regions and sites with other numbers of routers, cache servers and relays.

        0, or a negative number of relays, keeps the present number.  Raises TopologyError.
        """
        router_count = routers or self.routers
        per_process = math.ceil(router_count / MIN_HOLLOW_PROCESSES)
        resized = replace(
            self,
            routers=router_count,
            cache_servers=cache_servers or self.cache_servers,
            relays=self.relays if relays < 0 else (self.relays * relays)[:relays],
            hollow_routers_per_process=min(self.hollow_routers_per_process, max(per_process, 1)),
        )
        _check(resized)
        return resized


def read_topology(path: Path) -> Topology:
    """Read and validate a topology file.  Raises TopologyError."""
    try:
        return _parse(tomllib.loads(path.read_text(encoding="utf-8")))
    except KeyError as error:
        raise TopologyError(path.name, f"{error.args[0]} is missing") from error
    except (OSError, TypeError, ValueError, AttributeError) as error:
        raise TopologyError(path.name, error) from error


def _parse(values: Mapping[str, Any]) -> Topology:
    delays = values["delays"]
    topology = Topology(
        routers=int(values["routers"]),
        cache_servers=int(values["shelfs"]),
        hollow_routers_per_process=int(values["hollow_each"]),
        discoveries=int(values["discoveries"]),
        proxies=int(values["links"]),
        relays=tuple(str(region) for region in values["relays"]),
        full_routers=tuple(str(region) for region in values["whole"]),
        voters=tuple(str(region) for region in values["voters"]),
        delays=Delays(float(delays["zone"]), float(delays["region"]), float(delays["far"])),
        regions={
            str(region): tuple(int(site_count) for site_count in zones)
            for region, zones in values["regions"].items()
        },
    )
    _check(topology)
    return topology


def _check(topology: Topology) -> None:
    """Raise TopologyError with the key in the file of the first value that is out of bounds."""
    hollow_processes = topology.routers / topology.hollow_routers_per_process
    bounds = {
        "routers": (topology.routers, 1, MAX_ROUTERS),
        "shelfs": (topology.cache_servers, 1, MAX_CACHE_SERVERS),
        "hollow_each": (topology.hollow_routers_per_process, 1, MAX_HOLLOW_ROUTERS_PER_PROCESS),
        "discoveries": (topology.discoveries, 1, MAX_DISCOVERIES),
        "links": (topology.proxies, 0, MAX_PROXIES),
        "relays": (len(topology.relays), 0, MAX_RELAYS),
        "whole": (len(topology.full_routers), 0, MAX_FULL_ROUTERS),
        "regions": (len(topology.regions), 1, MAX_REGIONS),
        "processes of hollow routers": (hollow_processes, 0, MAX_HOLLOW_PROCESSES),
    }
    for key, (value, minimum, maximum) in bounds.items():
        if not minimum <= value <= maximum:
            raise TopologyError(key, f"{value:g} is not between {minimum} and {maximum}")
    _check_regions(topology)
    delays = topology.delays
    if any(not 0.0 <= ms <= MAX_DELAY_MS for ms in (delays.zone_ms, delays.region_ms, delays.remote_ms)):
        raise TopologyError("delays", f"not between 0 and {MAX_DELAY_MS:.0f} ms")


def _check_regions(topology: Topology) -> None:
    regions_by_key = {"relays": topology.relays, "whole": topology.full_routers, "voters": topology.voters}
    for key, regions in regions_by_key.items():
        if unknown := set(regions) - topology.regions.keys():
            raise TopologyError(key, f"unknown region {min(unknown)}")
    for zones in topology.regions.values():
        zone_count_fits = 0 < len(zones) <= MAX_ZONES_PER_REGION
        if not zone_count_fits or not all(0 < count <= MAX_SITES_PER_ZONE for count in zones):
            bounds = f"expected 1 to {MAX_ZONES_PER_REGION} zones of 1 to {MAX_SITES_PER_ZONE} sites each"
            raise TopologyError("regions", bounds)
