"""The demo: ``thornjunction run`` where no ``PROXY_CONFIG`` is set.

Two fake cache servers (an edge and the origin) and a fake discovery listen on free loopback ports, the router
takes an embedded configuration, and both fronts serve.  What to send them is printed.
"""

from __future__ import annotations

import json
import secrets
import sys
import time
from dataclasses import dataclass
from importlib.util import find_spec
from pathlib import Path
from typing import TYPE_CHECKING, Any

from joserfc.jwk import OctKey

from thornjunction.core.counters import Counters
from thornjunction.runtime.addresses import Address
from thornjunction.runtime.config import Config, parse_config
from thornjunction.runtime.extras import Extras
from thornjunction.runtime.signed_settings import SignedFrontSettings
from thornjunction.signing import tokens
from thornjunction.signing.replay import ReplayWindow

if TYPE_CHECKING:
    from thornjunction.runtime.service import Service

# Class, group, object and part of the request that the greeting proposes.
EXAMPLE_PATH = "/clips/1/00000000000000ff/0"

# Source folder of the fakes, in a tree where they are not installed.
FAKES_FOLDER = Path(__file__).resolve().parents[2] / "packages" / "fakes" / "src"

# Sockets of the demo's router: it serves one newcomer.
SOCKETS = 90

# Lifetime of the token in the greeting.
TOKEN_LIFETIME_S = 3600

# Size of the key that signs it.
SECRET_BYTES = 32

# Memory of the demo's replay window.
REPLAY_WINDOW_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class Demo:
    """A router before its fakes, built and not yet started."""

    service: Service
    greeting: str

    def run(self) -> int:
        """Print the greeting, serve until SIGTERM and return the exit code."""
        print(self.greeting, flush=True)
        return self.service.run()


def build_demo(reactor: Any) -> Demo:
    """Start the fakes and build a router before them."""
    from thornjunction.runtime.service import Service  # Twisted's parts need the reactor to be installed

    config = _start_fakes(reactor)
    front = _signed_front()
    service = Service(config, Extras(signed=front), reactor, Counters(), lambda: config)
    return Demo(service, _greeting(config, front))


def make_fakes_importable() -> None:
    """Add the fakes' folder to the path in a tree built by ``make build``, which does not install them."""
    if find_spec("fakes") is None:
        sys.path.append(str(FAKES_FOLDER))


def _start_fakes(reactor: Any) -> Config:
    """Start the fake cache servers and discovery, and return the configuration of a router that uses them."""
    make_fakes_importable()
    from fakes.config import SETTINGS, endpoint_list, free_port, listen_on_free_port
    from fakes.demo_servers import DemoCacheServer, DemoDiscovery

    edge_port = listen_on_free_port(reactor, DemoCacheServer)
    origin_port = listen_on_free_port(reactor, DemoCacheServer)
    hosts = [
        *endpoint_list("box", at=f"127.0.0.1:{edge_port}", site="demo")["cmds"][0]["nodes"]["hosts"],
        *endpoint_list("root", at=f"127.0.0.1:{origin_port}", site="demo")["cmds"][0]["nodes"]["hosts"],
    ]
    discovery_port = listen_on_free_port(reactor, lambda: DemoDiscovery(hosts, reactor))
    configuration: dict[str, Any] = {
        "name": "demo",
        "listen": f"127.0.0.1:{free_port()}",
        "channel": f"127.0.0.1:{discovery_port}",
        "settings": SETTINGS,
        "limits": {"sockets": SOCKETS},
        "known": {"cursor": 0, "cmds": []},
    }
    return parse_config(json.dumps(configuration).encode(), {})


def _signed_front() -> SignedFrontSettings:
    """Return the settings of a signed-URL front on a free port, with a new key."""
    from fakes.config import free_port

    key = tokens.SigningKey("demo", "HS256", OctKey.import_key(secrets.token_bytes(SECRET_BYTES)))
    trust = tokens.Trust(frozenset({"demo"}), "thornjunction", ("HS256",), {"demo": key}, "demo")
    port = free_port()
    base = f"http://127.0.0.1:{port}"
    return SignedFrontSettings(Address("127.0.0.1", port), base, trust, ReplayWindow(REPLAY_WINDOW_BYTES))


def _greeting(config: Config, front: SignedFrontSettings) -> str:
    """Return the text that is printed: the address of each front, and a signed URL to try."""
    container = "hash:" + tokens.uri_hash(front.base + EXAMPLE_PATH)
    token = tokens.issue(front.trust, container, time.time(), TOKEN_LIFETIME_S)
    host, port = config.listen
    return (
        "thornjunction demo: no PROXY_CONFIG, so stand-in shelfs and discovery run on loopback.\n"
        f"  platform front (FastCGI): {host}:{port}\n"
        f"  signed front, a clip: curl -s -o /dev/null -w '%{{http_code}}\\n' \\\n"
        f"    '{front.base}{EXAMPLE_PATH}?URISigningPackage={token}'\n"
        "  SIGTERM or Ctrl-C ends it."
    )
