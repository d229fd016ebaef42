"""What a router of the rig reads: the platform's configuration on the demo's stand-ins, and an operators'
file with its ``[fleet]`` section."""

from __future__ import annotations

import json
from collections.abc import Mapping, Sequence
from pathlib import Path
from random import randint
from socket import socket
from typing import Any

from standins.config import SETTINGS, listen
from standins.plain import DemoDiscovery, DemoShelf

from fleet_harness.udp_relay import Address


def start_standins(reactor: Any) -> int:
    """An edge, an origin and a discovery service that lists them, on free ports; the port of the last."""
    hosts = [
        {"host": name, "dial": f"127.0.0.1:{listen(reactor, DemoShelf)}", "site": "demo"}
        | {"class": kind, "health": "active"}
        for name, kind in (("edge1", "box"), ("origin", "root"))
    ]
    return listen(reactor, lambda: DemoDiscovery(hosts, reactor))


def write_config(folder: Path, name: str, channel: int) -> Address:
    """The platform's file; where the operators' door will be.  Both ports are on a loopback address drawn for
    this life, where nothing else is likely to take them; a router that can't have one is started again."""
    host = ".".join(["127", *(str(randint(1, 254)) for _ in range(3))])
    with socket() as front, socket() as door:
        front.bind((host, 0))
        door.bind((host, 0))
        ports = front.getsockname()[1], door.getsockname()[1]
    told = {
        "name": name,
        "listen": f"{host}:{ports[0]}",
        "admin_addr": f"{host}:{ports[1]}",
        "channel": f"127.0.0.1:{channel}",
        "settings": SETTINGS,
        "limits": {"sockets": 90},
        "known": {"cursor": 0, "cmds": []},
    }
    (folder / "config.json").write_text(json.dumps(told))
    return host, ports[1]


def write_extras(
    folder: Path, public: Address, seeds: Sequence[Address], secret: bytes, settings: Mapping[str, object]
) -> None:
    """The operators' file.  The router's own port is any: the others know its public address."""
    (folder / "fleet.key").write_bytes(secret)
    told = {
        "listen": "127.0.0.1:0",
        "advertise": f"{public[0]}:{public[1]}",
        "secret_file": "fleet.key",
        "seeds": [f"{host}:{port}" for host, port in seeds],
        "data": "data",
    }
    lines = [f"{key} = {_toml(value)}" for key, value in (told | dict(settings)).items()]
    (folder / "extras.toml").write_text("\n".join(["[fleet]", *lines, ""]))


def _toml(value: object) -> str:
    if isinstance(value, Mapping):
        return "{" + ", ".join(f"{key} = {_toml(below)}" for key, below in value.items()) + "}"
    return json.dumps(value)
