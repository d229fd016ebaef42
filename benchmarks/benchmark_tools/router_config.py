"""Configurations for the benchmarks that run a router process."""

from __future__ import annotations

from typing import Any

# Values of ``class`` in the endpoint list: edge cache, parent and origin.
EDGE_KIND = "box"
PARENT_KIND = "upper"
ORIGIN_KIND = "root"
ROUTER_SITE = "z1"
REMOTE_SITE = "hub"
SERVER_WEIGHT = 4

# The platform's settings of a router in the first of two sites, with one request class for reads of objects
# and one for writes.
SETTINGS: dict[str, Any] = {
    "allowed": {"attemptsCap": 4, "cancel": True, "probing": False},
    "classes": [
        {"name": "files", "aimMs": 500.0, "giveUpMs": 3000.0, "idempotency": "safe"},
        {"name": "writes", "aimMs": 500, "giveUpMs": 3000, "idempotency": "unsafe", "lateWorth": 0.0},
    ],
    "instances": 2,
    "machineTypes": [EDGE_KIND, PARENT_KIND, ORIGIN_KIND],
    "myZone": ROUTER_SITE,
    "report": {"columns": ["util", "x1"], "how": "answers"},
    "safety": {
        "coldMs": 9000.0,
        "drainGraceMs": 300.0,
        "fallMs": 900.0,
        "fallMultiple": 2.0,
        "startCapacity": 0.2,
    },
    "specifics": {
        "collapses": True,
        "rootKind": 2,
        "secondTierKind": 1,
        "passOn": [False, True],
        "classFreshMs": [8000.0, 0.0],
        "instancesByZone": [0, 2],
        "oneFlowKbPerS": 5000.0,
        "says": "all",
    },
    "weights": "nominal",
    "zones": [REMOTE_SITE, ROUTER_SITE],
}


def host_entry(name: str, kind: str, site: str, address: str) -> dict[str, Any]:
    """Return the endpoint list's entry of an active server."""
    return {
        "host": name,
        "class": kind,
        "site": site,
        "dial": address,
        "health": "active",
        "share": SERVER_WEIGHT,
    }


def router_config(
    listen: str,
    channel: str,
    limits: dict[str, float],
    hosts: list[dict[str, Any]] | None = None,
    settings: dict[str, Any] | None = None,
) -> dict[str, Any]:
    """Return the platform's configuration of a router; ``hosts``, if given, are discovery's event 1."""
    initial_events: dict[str, Any] = {"cursor": 0, "cmds": []}
    if hosts is not None:
        initial_events = {"cursor": 1, "cmds": [{"cursor": 1, "nodes": {"whole": True, "hosts": hosts}}]}
    return {
        "name": "n1",
        "listen": listen,
        "channel": channel,
        "settings": SETTINGS if settings is None else settings,
        "limits": limits,
        "known": initial_events,
    }
