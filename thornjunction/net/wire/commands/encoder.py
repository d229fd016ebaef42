"""Encoder of entries of the endpoint list."""

from __future__ import annotations

from typing import Any

from thornjunction.net.wire.commands.messages import HEALTH_VALUES, Host


def encode_host(host: Host) -> dict[str, Any]:
    """Return the entry of the endpoint list, as JSON values, that is decoded as this host."""
    return {
        "host": host.name,
        "dial": "" if host.address is None else f"{host.address[0]}:{host.address[1]}",
        "site": host.site,
        "class": host.kind,
        "block": host.cell,
        "health": HEALTH_VALUES[host.state],
        "share": host.weight,
        "born_ms": host.started_unix_ms,
    }
