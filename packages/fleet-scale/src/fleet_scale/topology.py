"""What stands where: regions, zones, sites, routers by site, and what they poll.  From a TOML file."""

from __future__ import annotations

import math
import tomllib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

MOST_ROUTERS, MOST_SHELFS, MOST_EACH = 2000, 4096, 200  # of a run; of a list; hollow ones in one process
LEAST_PROCESSES, MOST_PROCESSES = 4, 64  # of hollow routers
HERE = Path(__file__).resolve().parent


class TopologyError(Exception):
    """What is wrong with a file, naming the key."""


@dataclass(frozen=True, slots=True)
class Site:
    """One place, its zone and region by name, and its routers."""

    name: str
    zone: str
    region: str
    routers: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Delays:
    """One way, in ms: to what stands in the same zone, in the same region, in another one."""

    zone: float
    region: float
    far: float


@dataclass(frozen=True, slots=True)
class Topology:
    """All that a run starts.  ``relays``, ``whole`` and ``voters`` hold a region for each."""

    routers: int
    shelfs: int
    hollow_each: int
    discoveries: int
    links: int
    relays: tuple[str, ...]
    whole: tuple[str, ...]
    voters: tuple[str, ...]
    delays: Delays
    regions: Mapping[str, Sequence[int]]

    def sites(self) -> tuple[Site, ...]:
        """All sites, the routers spread over them as evenly as whole ones can be."""
        places = [
            (f"{region}{'abcdefgh'[zone]}{site + 1}", f"{region}{'abcdefgh'[zone]}", region)
            for region, zones in self.regions.items()
            for zone, sites in enumerate(zones)
            for site in range(sites)
        ]
        ends = [self.routers * (place + 1) // len(places) for place in range(len(places))]
        counts = [end - begin for begin, end in zip([0, *ends], ends, strict=False)]
        return tuple(
            Site(*place, tuple(f"{place[0]}-{number + 1:02d}" for number in range(count)))
            for place, count in zip(places, counts, strict=True)
        )

    def zones(self) -> tuple[str, ...]:
        return tuple(dict.fromkeys(site.zone for site in self.sites()))

    def sized(self, routers: int = 0, shelfs: int = 0, relays: int = -1) -> Topology:
        """The same places with so many of each; 0, or under 0 for relays, leaves what the file says."""
        kept = self.relays if relays < 0 else (self.relays * (relays or 1))[:relays]
        count = routers or self.routers
        each = min(self.hollow_each, max(math.ceil(count / LEAST_PROCESSES), 1))
        fresh = replace(
            self, routers=count, shelfs=shelfs or self.shelfs, relays=tuple(kept), hollow_each=each
        )
        _check(fresh)
        return fresh


def read_topology(path: Path) -> Topology:
    """From a file; TopologyError names what is wrong with it."""
    try:
        return _read(tomllib.loads(path.read_text(encoding="utf-8")))
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise TopologyError(f"{path.name}: {error}") from error
    except KeyError as error:
        raise TopologyError(f"{path.name}: {error.args[0]} is missing") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise TopologyError(f"{path.name}: {error}") from error


def _read(told: Mapping[str, Any]) -> Topology:
    counted = "routers", "shelfs", "hollow_each", "discoveries", "links"
    numbers: Any = {key: int(told[key]) for key in counted}
    groups: Any = {key: tuple(str(name) for name in told[key]) for key in ("relays", "whole", "voters")}
    delays = Delays(**{key: float(told["delays"][key]) for key in ("zone", "region", "far")})
    regions = {str(name): tuple(int(sites) for sites in zones) for name, zones in told["regions"].items()}
    made = Topology(**numbers, **groups, delays=delays, regions=regions)
    _check(made)
    return made


def _check(made: Topology) -> None:
    bounds = {
        "routers": (made.routers, 1, MOST_ROUTERS),
        "shelfs": (made.shelfs, 1, MOST_SHELFS),
        "hollow_each": (made.hollow_each, 1, MOST_EACH),
        "discoveries": (made.discoveries, 1, 8),
        "links": (made.links, 0, 8),
        "relays": (len(made.relays), 0, 14),
        "whole": (len(made.whole), 0, 9),
        "regions": (len(made.regions), 1, 32),
        "processes of hollow routers": (made.routers / made.hollow_each, 0, MOST_PROCESSES),
    }
    for key, (value, least, most) in bounds.items():
        if not least <= value <= most:
            raise TopologyError(f"{key}: {value:g} is not within {least} and {most}")
    for key, names in (("relays", made.relays), ("whole", made.whole), ("voters", made.voters)):
        if unknown := set(names) - made.regions.keys():
            raise TopologyError(f"{key}: no region {min(unknown)}")
    if any(not 0 < len(zones) <= 8 or not all(0 < n <= 16 for n in zones) for zones in made.regions.values()):
        raise TopologyError("regions: 1 to 8 zones of 1 to 16 sites each")
    if any(not 0.0 <= ms <= 1000.0 for ms in (made.delays.zone, made.delays.region, made.delays.far)):
        raise TopologyError("delays: not within 0 and 1000 ms")
