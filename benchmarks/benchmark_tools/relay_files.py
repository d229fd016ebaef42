"""The endpoint list and the readiness check shared by the benchmarks of a relay process."""

from __future__ import annotations

from typing import Any

from control_harness.participants import RelayParticipant

LISTED_SERVERS = 440
# Time for which a relay waits for further events before it answers its polls.
BATCH_WINDOW_MS = 150
# Nothing listens at the address of the servers, since these benchmarks never connect to it.
HOST = {"dial": "127.0.0.1:9", "site": "demo", "class": "box", "health": "active", "share": 1}


def build_hosts() -> list[dict[str, Any]]:
    """Return an endpoint list of ``LISTED_SERVERS`` servers."""
    return [HOST | {"host": f"s{number}"} for number in range(LISTED_SERVERS)]


async def is_ready(relay: RelayParticipant) -> bool:
    """Return whether the relay reports that it is ready to serve polls."""
    return await relay.call_admin("check") == ["ACK"]
