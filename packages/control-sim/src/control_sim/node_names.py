"""Names of the simulated processes."""

from __future__ import annotations

DISCOVERY_NAME = "d"
RELAY_NAMES = ("r1", "r2", "c1")
ROUTER_NAMES = ("x1", "x2")
PLAIN_ROUTER_NAME = "x3"
NODE_NAMES = (DISCOVERY_NAME, *RELAY_NAMES, *ROUTER_NAMES, PLAIN_ROUTER_NAME)
