"""``thornjunction run`` where no PROXY_CONFIG is set: the demo.  Two stand-in shelfs (an edge and the
origin) and a discovery stand-in listen on free loopback ports, the router takes an embedded configuration,
and both fronts serve; what to send them is printed."""

from __future__ import annotations

import json
import secrets
import socket
import time
from collections.abc import Callable
from typing import Any

from joserfc.jwk import OctKey
from twisted.internet import protocol

from thornjunction.core.counters import Counters
from thornjunction.demo.standins import DemoDiscovery, DemoShelf
from thornjunction.runtime.config import Config, parse_config
from thornjunction.runtime.extras import Extras, SignedFront
from thornjunction.signing import tokens
from thornjunction.signing.replay import ReplayWindow

CLIP = "/clips/1/00000000000000ff/0"
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


def demo_config(reactor: Any) -> tuple[Config, Extras]:
    """Start the stand-ins; the router's configuration and extras that point at them."""
    edge, origin = listen(reactor, DemoShelf), listen(reactor, DemoShelf)
    hosts = [
        *listed("box", at=f"127.0.0.1:{edge}", site="demo")["cmds"][0]["nodes"]["hosts"],
        *listed("root", at=f"127.0.0.1:{origin}", site="demo")["cmds"][0]["nodes"]["hosts"],
    ]
    discovery = listen(reactor, lambda: DemoDiscovery(hosts, reactor))
    told: dict[str, Any] = {
        "name": "demo",
        "listen": f"127.0.0.1:{free_port()}",
        "channel": f"127.0.0.1:{discovery}",
    }
    told |= {"settings": SETTINGS, "limits": {"sockets": 90}, "known": {"cursor": 0, "cmds": []}}
    config = parse_config(json.dumps(told).encode(), {})
    key = tokens.SigningKey("demo", "HS256", OctKey.import_key(secrets.token_bytes(32)))
    trust = tokens.Trust(frozenset({"demo"}), "thornjunction", ("HS256",), {"demo": key}, "demo")
    listen_at = ("127.0.0.1", free_port())
    base = f"http://127.0.0.1:{listen_at[1]}"
    return config, Extras(signed=SignedFront(listen_at, base, trust, ReplayWindow(1 << 20)))


def greeting(config: Config, extras: Extras) -> str:
    """What to tell the newcomer: where each front listens, and a signed URL to try."""
    front = extras.signed
    assert front is not None
    token = tokens.issue(front.trust, "hash:" + tokens.hash_of(front.base + CLIP), time.time(), 3600)
    host, port = config.listen
    return (
        "thornjunction demo: no PROXY_CONFIG, so stand-in shelfs and discovery run on loopback.\n"
        f"  platform front (FastCGI): {host}:{port}\n"
        f"  signed front, a clip: curl -s -o /dev/null -w '%{{http_code}}\\n' \\\n"
        f"    '{front.base}{CLIP}?URISigningPackage={token}'\n"
        "  SIGTERM or Ctrl-C ends it."
    )


def serve_demo(reactor: Any) -> int:
    """Run the demo until SIGTERM; the exit code."""
    from thornjunction.runtime.service import Service

    config, extras = demo_config(reactor)
    service = Service(config, extras, reactor, Counters(), lambda: config)
    print(greeting(config, extras), flush=True)
    return service.run()
