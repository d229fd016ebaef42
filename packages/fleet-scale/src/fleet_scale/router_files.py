"""Contents of the files that routers and relays read: the platform's configuration, the operators' file."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from random import Random
from socket import SOCK_DGRAM, SOCK_STREAM, socket
from typing import Any

from fakes.config import SETTINGS

from thornjunction.runtime.addresses import Address

# Time within which all caches have removed a purged object.
PURGE_PROPAGATION_MS = 10_000.0
# Limit on a router's connections, in descriptors.
CONNECTION_LIMIT = 90


@dataclass(frozen=True, slots=True)
class RouterLocation:
    """A router's name, its site, and the names of all sites."""

    name: str
    site: str
    all_sites: Sequence[str]


def router_settings(location: RouterLocation) -> dict[str, Any]:
    """Return the settings of a router: one request class, and each site as a zone with one router."""
    specifics = SETTINGS["specifics"] | {
        "instancesByZone": [1] * len(location.all_sites),
        "purgeTakesMs": PURGE_PROPAGATION_MS,
    }
    return SETTINGS | {"myZone": location.site, "zones": list(location.all_sites), "specifics": specifics}


def router_config(
    location: RouterLocation, channel: Address, front: Address, admin: Address | None = None
) -> dict[str, Any]:
    """Return the platform's configuration of a router that polls ``channel`` and listens at ``front``."""
    config = {
        "name": location.name,
        "listen": format_address(front),
        "channel": format_address(channel),
        "settings": router_settings(location),
        "limits": {"sockets": CONNECTION_LIMIT},
        "known": {"cursor": 0, "cmds": []},
    }
    if admin is not None:
        config["admin_addr"] = format_address(admin)
    return config


def format_address(address: Address) -> str:
    """Return an address as the files spell it: ``host:port``."""
    return f"{address.host}:{address.port}"


def free_address(random: Random, socket_type: int = SOCK_STREAM) -> Address:
    """Return a free address on a random loopback host, where another process is unlikely to take the port."""
    host = ".".join(["127", *(str(random.randint(1, 254)) for _ in range(3))])
    with socket(type=socket_type) as probe:
        probe.bind((host, 0))
        return Address(host, int(probe.getsockname()[1]))


def free_datagram_address(random: Random) -> Address:
    """Return a free address for datagrams; see ``free_address``."""
    return free_address(random, SOCK_DGRAM)


def toml_section(name: str, values: Mapping[str, object]) -> str:
    """Return one section of an operators' file.  Values are encoded as JSON, which TOML reads as well."""
    lines = [f"{key} = {json.dumps(value)}" for key, value in values.items()]
    return "\n".join([f"[{name}]", *lines, ""])
