"""``thornjunction run`` where no PROXY_CONFIG is set: the demo.  Two stand-in shelfs (an edge and the
origin) and a discovery stand-in listen on free loopback ports, the router takes an embedded configuration,
and both fronts serve; what to send them is printed."""

from __future__ import annotations

import json
import secrets
import sys
import time
from importlib.util import find_spec
from pathlib import Path
from typing import Any

from joserfc.jwk import OctKey

from thornjunction.core.counters import Counters
from thornjunction.runtime.config import Config, parse_config
from thornjunction.runtime.extras import Extras, SignedFront
from thornjunction.signing import tokens
from thornjunction.signing.replay import ReplayWindow

CLIP = "/clips/1/00000000000000ff/0"
STANDINS = Path(__file__).resolve().parents[2] / "packages" / "standins" / "src"


def find_standins() -> None:
    """Guards the demo against a tree built by ``make build``: that installs what the platform runs, and the
    stand-ins lie beside it."""
    if find_spec("standins") is None:
        sys.path.append(str(STANDINS))


def demo_config(reactor: Any) -> tuple[Config, Extras]:
    """Start the stand-ins; the router's configuration and extras that point at them."""
    find_standins()
    from standins.config import SETTINGS, free_port, listed, listen
    from standins.plain import DemoDiscovery, DemoShelf

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
    token = tokens.issue(front.trust, "hash:" + tokens.uri_hash(front.base + CLIP), time.time(), 3600)
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
