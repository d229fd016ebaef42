"""The platform's configuration of a router with fake servers, and fake servers on free ports."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from twisted.internet import protocol

from thornjunction.net.event_loop.ports import Reactor

# The address on which all fakes listen.
LOOPBACK_HOST = "127.0.0.1"

# Upper bound on the sockets of a router under test; all processes of a test share the limit of one user.
MAX_SOCKETS = 90

# The platform's settings of a demo router with one class of requests.
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
    """Return a loopback port that is free now; another process may take it before it is used."""
    with socket.socket() as unused_socket:
        unused_socket.bind((LOOPBACK_HOST, 0))
        return int(unused_socket.getsockname()[1])


def listen_on_free_port(reactor: Reactor, build: Callable[[], protocol.Protocol]) -> int:
    """Start a fake server, whose connections ``build`` makes, on a free loopback port; return the port."""
    port = reactor.listenTCP(0, protocol.Factory.forProtocol(build), interface=LOOPBACK_HOST)
    return int(port.getHost().port)


def endpoint_list(*kinds: str, address: str, site: str) -> dict[str, Any]:
    """Return an answer of discovery that lists an active server of each kind, all at ``address``."""
    shared_fields = {"dial": address, "site": site, "health": "active"}
    hosts = [shared_fields | {"host": kind, "class": kind} for kind in kinds]
    return {"cursor": 1, "cmds": [{"cursor": 1, "nodes": {"whole": True, "hosts": hosts}}]}


def platform_config(listen: str, channel: str, cache_server: str, client_timeout_ms: float) -> dict[str, Any]:
    """Return a router's configuration with an edge and the origin at the address of one cache server.

    Its class ``clips`` is idempotent and its class ``orders`` is not.
    """
    times = {"aimMs": client_timeout_ms / 2, "giveUpMs": client_timeout_ms}
    classes = [{"name": "clips", "idempotency": "safe"}, {"name": "orders", "idempotency": "unsafe"}]
    settings = SETTINGS | {
        "classes": [times | request_class for request_class in classes],
        "zones": ["hub", "demo"],
        "specifics": SETTINGS["specifics"] | {"passOn": [False, True], "instancesByZone": [0, 1]},
    }
    return {
        "name": "demo",
        "listen": listen,
        "channel": channel,
        "known": endpoint_list("box", "root", address=cache_server, site="demo"),
        "limits": {"sockets": MAX_SOCKETS},
        "settings": settings,
    }
