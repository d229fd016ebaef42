"""The configuration of a router that is an hour of events behind discovery, and that backlog of events."""

from __future__ import annotations

import time
from typing import Any

from fakes.config import platform_config

LISTED_SERVERS = 440
# Servers of the router's own site.
SITE_SERVERS = 20
ROUTER_SITE = "demo"
REMOTE_SITE = "hub"
SERVER_WEIGHT = 4
CLIENT_TIMEOUT_MS = 3000.0
MAX_SOCKETS = 900
PURGE_PROPAGATION_MS = 5600.0
# Events of an hour; all are purges, except for the changes of the endpoint list.
MISSED_EVENTS = 122_400
CHANGES = 28
FIRST_CHANGED_SERVER = 100
HOUR_MS = 3_600_000.0
# Multiplies the event number, so that successive purges name objects far apart.
OBJECT_STEP = 7919


def host_entry(number: int, address: str, health: str = "active") -> dict[str, Any]:
    """Return the endpoint list's entry of one cache server."""
    return {
        "dial": address,
        "site": ROUTER_SITE if number < SITE_SERVERS else REMOTE_SITE,
        "class": "box",
        "health": health,
        "host": f"s{number}",
        "share": SERVER_WEIGHT,
    }


def build_backlog(first_cursor: int, address: str) -> dict[str, Any]:
    """Return an hour of events after ``first_cursor``; the purges of the last seconds are still in force."""
    last_cursor = first_cursor + MISSED_EVENTS
    now_ms = time.time() * 1000.0
    events: list[dict[str, Any]] = []
    for number in range(first_cursor + 1, last_cursor + 1):
        issued_ms = int(now_ms - (last_cursor - number) * HOUR_MS / MISSED_EVENTS)
        events.append({"cursor": number, "drop": {"id": f"{number * OBJECT_STEP:016x}", "when": issued_ms}})
    for change in range(CHANGES):
        index = (change + 1) * MISSED_EVENTS // (CHANGES + 1)
        entry = host_entry(FIRST_CHANGED_SERVER + change, address, health="leaving")
        events[index] = {"cursor": first_cursor + 1 + index, "nodes": {"seq": 2 + change, "hosts": [entry]}}
    return {"cursor": last_cursor, "cmds": events}


def build_config(front: str, channel: str, cache_server: str) -> dict[str, Any]:
    """Return the platform's configuration of a router that starts with the complete endpoint list."""
    config = platform_config(front, channel, cache_server, CLIENT_TIMEOUT_MS)
    hosts = [host_entry(number, cache_server) for number in range(LISTED_SERVERS)]
    config["known"]["cmds"][0]["nodes"]["hosts"] += hosts
    config["limits"]["sockets"] = MAX_SOCKETS
    config["settings"]["specifics"]["purgeTakesMs"] = PURGE_PROPAGATION_MS
    return config
