"""Names of the simulated processes."""

from __future__ import annotations

# The process of discovery.
DISCOVERY_NAME = "d"

# Relays: two siblings, and one that polls both.
RELAY_NAMES = ("r1", "r2", "c1")

# Routers that poll relays.
ROUTER_NAMES = ("x1", "x2")

# The router that uses only the plain protocol, which has no epochs.
PLAIN_ROUTER_NAME = "x3"

# All processes of the topology.
NODE_NAMES = (DISCOVERY_NAME, *RELAY_NAMES, *ROUTER_NAMES, PLAIN_ROUTER_NAME)
