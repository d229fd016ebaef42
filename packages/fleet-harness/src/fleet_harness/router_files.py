"""The files of a router: the platform's configuration with fake servers, and an operators' file."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from pathlib import Path
from random import randint
from socket import socket
from typing import Any

from fakes.config import SETTINGS, listen_on_free_port
from fakes.demo_servers import DemoCacheServer, DemoDiscovery
from sansio_core import Address

# Upper bound on the sockets of each router; all routers of a fleet share the limit of one user.
MAX_SOCKETS = 90


def start_fake_servers(reactor: Any) -> int:
    """Start an edge, an origin and a discovery that lists them, on free ports; return discovery's port."""
    hosts = [
        {
            "host": name,
            "dial": f"127.0.0.1:{listen_on_free_port(reactor, DemoCacheServer)}",
            "site": "demo",
            "class": kind,
            "health": "active",
        }
        for name, kind in (("edge1", "box"), ("origin", "root"))
    ]
    return listen_on_free_port(reactor, lambda: DemoDiscovery(hosts, reactor))


def write_platform_config(folder: Path, name: str, discovery_port: int) -> Address:
    """Write the platform's file ``config.json``; return the address of the router's admin endpoint.

    Both ports are on a loopback address drawn for this process, so that another process is unlikely to take
    them; a router that finds one taken is started again with new ones.
    """
    host = ".".join(["127", *(str(randint(1, 254)) for _ in range(3))])
    with socket() as front, socket() as admin:
        front.bind((host, 0))
        admin.bind((host, 0))
        front_port = int(front.getsockname()[1])
        admin_port = int(admin.getsockname()[1])
    config = {
        "name": name,
        "listen": f"{host}:{front_port}",
        "admin_addr": f"{host}:{admin_port}",
        "channel": f"127.0.0.1:{discovery_port}",
        "settings": SETTINGS,
        "limits": {"sockets": MAX_SOCKETS},
        "known": {"cursor": 0, "cmds": []},
    }
    (folder / "config.json").write_text(json.dumps(config))
    return host, admin_port


def write_operators_file(
    folder: Path,
    public_address: Address,
    seeds: Sequence[Address],
    secret: bytes,
    fleet_settings: Mapping[str, object],
) -> None:
    """Write ``extras.toml`` with its ``[fleet]`` section, and the secret in a file beside it.

    The router binds any free port; the others use its public address, which the UDP relay binds.
    """
    (folder / "fleet.key").write_bytes(secret)
    host, port = public_address
    section = {
        "listen": "127.0.0.1:0",
        "advertise": f"{host}:{port}",
        "secret_file": "fleet.key",
        "seeds": [f"{seed_host}:{seed_port}" for seed_host, seed_port in seeds],
        "data": "data",
        **fleet_settings,
    }
    lines = [f"{key} = {_toml(value)}" for key, value in section.items()]
    (folder / "extras.toml").write_text("\n".join(["[fleet]", *lines, ""]))


def _toml(value: object) -> str:
    if isinstance(value, Mapping):
        entries = (f"{key} = {_toml(entry)}" for key, entry in value.items())
        return "{" + ", ".join(entries) + "}"
    return json.dumps(value)
