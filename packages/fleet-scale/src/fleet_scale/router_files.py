"""The files that routers and relays of a run read: the platform's configuration, the operators' file."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from random import Random
from socket import SOCK_DGRAM, SOCK_STREAM, socket
from typing import Any

from fakes.config import SETTINGS

from thornjunction.runtime.addresses import Address

# Time in which all caches have dropped an object that was purged.
PURGE_PROPAGATION_MS = 10_000.0
# Descriptors that a router's configuration allows it for connections.
CONNECTION_LIMIT = 90


@dataclass(frozen=True, slots=True)
class RouterPlace:
    """A router's name, its site, and the names of all sites."""

    name: str
    site: str
    all_sites: Sequence[str]


def router_settings(place: RouterPlace) -> dict[str, Any]:
    """Return the settings of a router: one request class, and every site as a zone."""
    specifics = SETTINGS["specifics"] | {
        "instancesByZone": [1] * len(place.all_sites),
        "purgeTakesMs": PURGE_PROPAGATION_MS,
    }
    return SETTINGS | {"myZone": place.site, "zones": list(place.all_sites), "specifics": specifics}


def router_config(
    place: RouterPlace, channel: Address, front: Address, admin: Address | None = None
) -> dict[str, Any]:
    """Return the platform's configuration of a router that polls ``channel`` and listens at ``front``."""
    config = {
        "name": place.name,
        "listen": format_address(front),
        "channel": format_address(channel),
        "settings": router_settings(place),
        "limits": {"sockets": CONNECTION_LIMIT},
        "known": {"cursor": 0, "cmds": []},
    }
    if admin is not None:
        config["admin_addr"] = format_address(admin)
    return config


def format_address(address: Address) -> str:
    """Return an address as the files hold it."""
    return f"{address.host}:{address.port}"


def free_address(random: Random, socket_type: int = SOCK_STREAM) -> Address:
    """Return an address on a random loopback host, so that another process is unlikely to take its port."""
    host = ".".join(["127", *(str(random.randint(1, 254)) for _ in range(3))])
    with socket(type=socket_type) as probe:
        probe.bind((host, 0))
        return Address(host, int(probe.getsockname()[1]))


def free_datagram_address(random: Random) -> Address:
    """Return an address for datagrams, as ``free_address`` does for connections."""
    return free_address(random, SOCK_DGRAM)


def toml_section(name: str, values: Mapping[str, object]) -> str:
    """Return one section of an operators' file; strings, numbers and lists are written alike in JSON."""
    lines = [f"{key} = {json.dumps(value)}" for key, value in values.items()]
    return "\n".join([f"[{name}]", *lines, ""])
