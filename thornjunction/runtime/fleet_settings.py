"""The ``[fleet]`` section of the operators' file: read and checked; messages name the faulty key.  Imported
only where the file has one."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from thornjunction.runtime.addresses import Address, check_name, near_address
from thornjunction.runtime.config import ConfigError
from thornjunction.settings import SettingsReader

LEAST_SECRET = 32  # bytes
MOST_TIMING = 3_600_000  # ms, or of a count


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """Which fleet this router is of, where it listens, and whom it asks first.  ``advertise`` is where the
    others reach it; ``name`` is empty where the router's own counts; ``timings`` override the machine's
    defaults by their names."""

    listen: Address
    advertise: Address
    name: str
    fleet: str
    secret: bytes = field(repr=False)
    seeds: tuple[Address, ...]
    voters: tuple[str, ...]
    data: Path
    timings: Mapping[str, float]


def read_fleet(params: SettingsReader, folder: Path) -> FleetSettings:
    """The section's settings, paths relative to the file's folder; ConfigError or WireError otherwise."""
    private = params.get("private", bool, False)
    place, told = params.get("listen", str), params.get("advertise", str, "")
    if told and place.endswith(":0"):  # any free port: the others know the one advertised
        listen = near_address("fleet.listen", place.removesuffix("0") + "1", private)[0], 0
    else:
        listen = near_address("fleet.listen", place, private)
    advertise = near_address("fleet.advertise", told, private) if told else listen
    settings = FleetSettings(
        listen,
        advertise,
        name=params.get("name", str, ""),
        fleet=params.get("fleet", str),
        secret=_secret(folder / params.get("secret_file", str)),
        seeds=tuple(near_address("fleet.seeds", str(seed), private) for seed in params.get("seeds", list)),
        voters=tuple(str(voter) for voter in params.get("voters", list)),
        data=folder / params.get("data", str),
        timings=_timings(params.section("timings")) if "timings" in params.data else {},
    )
    if not settings.voters or len(set(settings.voters)) < len(settings.voters):
        raise ConfigError("fleet.voters: empty, or one name twice")
    for name in (settings.fleet, *settings.voters, *([settings.name] if settings.name else [])):
        check_name("fleet", name)
    return settings


def _secret(path: Path) -> bytes:
    try:
        secret = path.read_bytes().strip()
    except OSError as error:
        raise ConfigError(f"fleet.secret_file: {error.strerror}") from error
    if len(secret) < LEAST_SECRET:
        raise ConfigError(f"fleet.secret_file: under {LEAST_SECRET} bytes")
    return secret


def _timings(params: SettingsReader) -> dict[str, float]:
    told = {name: params.get(name, (int, float)) for name in params.data}
    for name, value in told.items():
        if not 0 < value <= MOST_TIMING:
            raise ConfigError(f"fleet.timings.{name}: not above 0 and at most {MOST_TIMING}")
    return told
