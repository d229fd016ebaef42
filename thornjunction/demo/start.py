"""The demo, which ``thornjunction run`` starts where ``PROXY_CONFIG`` is not set.

Two fake cache servers (an edge and the origin) and a fake discovery service listen on free loopback ports.
The router uses a built-in configuration and opens both fronts.  Example requests are printed at the start.
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

# Path of the example request: class, group, object and part.
EXAMPLE_PATH = "/clips/1/00000000000000ff/0"

# Source folder of the package ``fakes``, for a checkout where it is not installed.
FAKES_FOLDER = Path(__file__).resolve().parents[2] / "packages" / "fakes" / "src"

# Limit on the sockets of the demo's router, which serves a single user.
SOCKET_LIMIT = 90

# Lifetime of the token in the example URL.
TOKEN_LIFETIME_S = 3600

# Size of the HMAC key that signs this token.
HMAC_KEY_BYTES = 32

# Memory limit of the demo's replay window.
REPLAY_WINDOW_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class Demo:
    """A router in front of fake servers, built and not yet started."""

    service: Service
    instructions: str

    def run(self) -> int:
        """Print the instructions, serve until SIGTERM and return the exit code."""
        print(self.instructions, flush=True)
        return self.service.run()


def build_demo(reactor: Any) -> Demo:
    """Start the fake servers and build a router in front of them."""
    # Imported here, since it imports Twisted modules that need an installed reactor.
    from thornjunction.runtime.service import Service

    config = _start_fakes(reactor)
    front = _signed_front()
    service = Service(config, Extras(signed=front), reactor, Counters(), lambda: config)
    return Demo(service, _instructions(config, front))


def make_fakes_importable() -> None:
    """Add the folder of ``fakes`` to the import path: ``make build`` does not install this package."""
    if find_spec("fakes") is None:
        sys.path.append(str(FAKES_FOLDER))


def _start_fakes(reactor: Any) -> Config:
    """Start the fake cache servers and discovery service, and return a configuration that uses them."""
    make_fakes_importable()
    from fakes.config import SETTINGS, endpoint_list, free_port, listen_on_free_port
    from fakes.demo_servers import DemoCacheServer, DemoDiscovery

    edge_port = listen_on_free_port(reactor, DemoCacheServer)
    origin_port = listen_on_free_port(reactor, DemoCacheServer)
    hosts = [
        *endpoint_list("box", address=f"127.0.0.1:{edge_port}", site="demo")["cmds"][0]["nodes"]["hosts"],
        *endpoint_list("root", address=f"127.0.0.1:{origin_port}", site="demo")["cmds"][0]["nodes"]["hosts"],
    ]
    discovery_port = listen_on_free_port(reactor, lambda: DemoDiscovery(hosts, reactor))
    configuration: dict[str, Any] = {
        "name": "demo",
        "listen": f"127.0.0.1:{free_port()}",
        "channel": f"127.0.0.1:{discovery_port}",
        "settings": SETTINGS,
        "limits": {"sockets": SOCKET_LIMIT},
        "known": {"cursor": 0, "cmds": []},
    }
    return parse_config(json.dumps(configuration).encode(), {})


def _signed_front() -> SignedFrontSettings:
    """Return the settings of a signed-URL front on a free port, with a newly generated key."""
    from fakes.config import free_port

    key = tokens.SigningKey("demo", "HS256", OctKey.import_key(secrets.token_bytes(HMAC_KEY_BYTES)))
    trust = tokens.Trust(frozenset({"demo"}), "thornjunction", ("HS256",), {"demo": key}, "demo")
    port = free_port()
    base = f"http://127.0.0.1:{port}"
    return SignedFrontSettings(Address("127.0.0.1", port), base, trust, ReplayWindow(REPLAY_WINDOW_BYTES))


def _instructions(config: Config, front: SignedFrontSettings) -> str:
    """Return the text to print: the address of each front, and a command that requests a signed URL."""
    container = "hash:" + tokens.uri_hash(front.base + EXAMPLE_PATH)
    token = tokens.issue(front.trust, container, time.time(), TOKEN_LIFETIME_S)
    host, port = config.listen
    return (
        "thornjunction demo: PROXY_CONFIG is not set; fake cache servers and discovery run on loopback.\n"
        f"  platform front (FastCGI): {host}:{port}\n"
        f"  signed front, a clip: curl -s -o /dev/null -w '%{{http_code}}\\n' \\\n"
        f"    '{front.base}{EXAMPLE_PATH}?URISigningPackage={token}'\n"
        "  SIGTERM or Ctrl-C stops the demo."
    )
