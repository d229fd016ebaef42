"""The platform's configuration round stand-ins: an edge and the origin, one site, one class; free ports."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from twisted.internet import protocol

SETTINGS: dict[str, Any] = {
    "allowed": {"attemptsCap": 3, "cancel": True, "probing": False},
    "classes": [{"name": "clips", "aimMs": 500.0, "giveUpMs": 3000.0, "idempotency": "safe"}],
    "instances": 1,
    "machineTypes": ["box", "upper", "root"],
    "myZone": "demo",
    "report": {"columns": [], "how": "answers"},
    "safety": {
        "coldMs": 2000.0,
        "drainGraceMs": 300.0,
        "fallMs": 900.0,
        "fallMultiple": 2.0,
        "startCapacity": 0.5,
    },
    "specifics": {"rootKind": 2, "secondTierKind": 1, "instancesByZone": [1], "says": "all"},
    "weights": "nominal",
    "zones": ["demo"],
}


def free_port() -> int:
    """A loopback port that was free a moment ago."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def listen(reactor: Any, build: Callable[[], protocol.Protocol]) -> int:
    """A stand-in on a free loopback port; its port."""
    port = reactor.listenTCP(0, protocol.Factory.forProtocol(build), interface="127.0.0.1")
    return int(port.getHost().port)


def listed(*kinds: str, at: str, site: str) -> dict[str, Any]:
    """The command channel's list of one active shelf of each kind, all at one address."""
    place = {"dial": at, "site": site, "health": "active"}
    hosts = [place | {"host": kind, "class": kind} for kind in kinds]
    return {"cursor": 1, "cmds": [{"cursor": 1, "nodes": {"whole": True, "hosts": hosts}}]}


def config_at(listen: str, channel: str, shelf: str, longest_ms: float) -> dict[str, Any]:
    """A configuration with an edge and the origin at one shelf's address: clips may run twice, orders not."""
    kind = {"aimMs": longest_ms / 2, "giveUpMs": longest_ms}
    classes = [{"name": "clips", "idempotency": "safe"}, {"name": "orders", "idempotency": "unsafe"}]
    more = {"classes": [kind | one for one in classes], "zones": ["hub", "demo"]}
    more["specifics"] = SETTINGS["specifics"] | {"passOn": [False, True], "instancesByZone": [0, 1]}
    known = listed("box", "root", at=shelf, site="demo")
    told = {"name": "demo", "listen": listen, "channel": channel, "known": known}
    return told | {"limits": {"sockets": 90}, "settings": SETTINGS | more}
