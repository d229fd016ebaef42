"""Reads and checks the ``[fleet]`` section of the operators' file; error messages name the faulty key.

This module is imported only if the file has the section.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from thornjunction.runtime.addresses import Address, check_name, read_local_address
from thornjunction.runtime.errors import FaultyKeyError
from thornjunction.settings import SettingsReader

# Smallest size of a fleet's secret: the size of the digest that is keyed with it.
MIN_SECRET_BYTES = 32

# Greatest value of a timing, which is either in ms or a count.
MAX_TIMING = 3_600_000


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """The fleet of this router, its addresses and the members that it contacts first.

    Attributes:
        listen: the address where this router receives datagrams; port 0 selects any free port.
        advertise: the address at which the other members reach this router.
        name: the member's name; empty to use the router's name.
        fleet: the fleet's name.
        secret: the secret that all members of the fleet share.
        seeds: addresses of the members that are contacted first.
        voters: names of the members that form the quorum.
        data: folder of the files that outlive the process.
        timings: values that override defaults of the membership, by the names of its settings.
    """

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
    """Read the section, in which paths are relative to the folder.  Raises ConfigError or WireError."""
    allow_private = params.get("private", bool, False)
    advertised = params.get("advertise", str, "")
    listen = _read_listen(params.get("listen", str), bool(advertised), allow_private)
    settings = FleetSettings(
        listen,
        read_local_address("fleet.advertise", advertised, allow_private) if advertised else listen,
        name=params.get("name", str, ""),
        fleet=params.get("fleet", str),
        secret=_read_secret(folder / params.get("secret_file", str)),
        seeds=tuple(
            read_local_address("fleet.seeds", str(seed), allow_private) for seed in params.get("seeds", list)
        ),
        voters=tuple(str(voter) for voter in params.get("voters", list)),
        data=folder / params.get("data", str),
        timings=_read_timings(params.section("timings")) if "timings" in params.data else {},
    )
    if not settings.voters or len(set(settings.voters)) < len(settings.voters):
        raise FaultyKeyError("fleet.voters", "empty, or contains a name twice")
    _check_names(settings)
    return settings


def _read_listen(text: str, is_advertised: bool, allow_private: bool) -> Address:
    """Read the address to listen on; port 0 is accepted only if another address is advertised."""
    if is_advertised and text.endswith(":0"):
        text_with_valid_port = text.removesuffix("0") + "1"
        return Address(read_local_address("fleet.listen", text_with_valid_port, allow_private).host, 0)
    return read_local_address("fleet.listen", text, allow_private)


def _check_names(settings: FleetSettings) -> None:
    check_name("fleet", settings.fleet)
    for voter in settings.voters:
        check_name("fleet", voter)
    if settings.name:
        check_name("fleet", settings.name)


def _read_secret(path: Path) -> bytes:
    try:
        secret = path.read_bytes().strip()
    except OSError as error:
        raise FaultyKeyError("fleet.secret_file", error.strerror) from error
    if len(secret) < MIN_SECRET_BYTES:
        raise FaultyKeyError("fleet.secret_file", f"the secret has fewer than {MIN_SECRET_BYTES} bytes")
    return secret


def _read_timings(params: SettingsReader) -> dict[str, float]:
    timings = {name: params.get(name, (int, float)) for name in params.data}
    for name, value in timings.items():
        if not 0 < value <= MAX_TIMING:
            raise FaultyKeyError(f"fleet.timings.{name}", f"must be above 0 and at most {MAX_TIMING}")
    return timings
