"""What routers and relays of a run read: the platform's configuration and the operators' file."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from random import Random
from socket import SOCK_DGRAM, SOCK_STREAM, socket
from typing import Any

from fakes.config import SETTINGS

Address = tuple[str, int]
HOLD_MS = 10_000.0  # by then all caches have dropped what was purged


def settings_of(site: str, sites: Sequence[str]) -> dict[str, Any]:
    """The settings of a router at a site: one class, all other sites as zones."""
    special = SETTINGS["specifics"] | {"instancesByZone": [1] * len(sites), "purgeTakesMs": HOLD_MS}
    return SETTINGS | {"myZone": site, "zones": list(sites), "specifics": special}


def config_of(
    name: str, site: str, sites: Sequence[str], channel: Address, listen: Address, door: Address | None = None
) -> dict[str, Any]:
    """The platform's file of one router that polls ``channel``."""
    told = {
        "name": name,
        "listen": text_of(listen),
        "channel": text_of(channel),
        "settings": settings_of(site, sites),
        "limits": {"sockets": 90},
        "known": {"cursor": 0, "cmds": []},
    }
    return told | ({"admin_addr": text_of(door)} if door else {})


def text_of(address: Sequence[Any]) -> str:
    return f"{address[0]}:{address[1]}"


def free_address(draw: Random, kind: int = SOCK_STREAM) -> Address:
    """On a loopback host drawn for this use, where nothing else is likely to take the port."""
    host = ".".join(["127", *(str(draw.randint(1, 254)) for _ in range(3))])
    with socket(type=kind) as probe:
        probe.bind((host, 0))
        return host, int(probe.getsockname()[1])


def free_datagram_address(draw: Random) -> Address:
    return free_address(draw, SOCK_DGRAM)


def toml(section: str, told: Mapping[str, object]) -> str:
    """One section of an operators' file; JSON's texts, numbers and lists are TOML's too."""
    lines = [f"{key} = {json.dumps(value)}" for key, value in told.items()]
    return "\n".join([f"[{section}]", *lines, ""])
