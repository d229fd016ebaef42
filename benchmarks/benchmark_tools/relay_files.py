"""What the benchmarks of a real relay share."""

from __future__ import annotations

from typing import Any

from control_harness.participants import RelayParticipant

LISTED_SERVERS = 440
# Time for which a relay waits for more events before it answers.
BATCH_WINDOW_MS = 150
# Nothing listens at the address of the servers, which nobody connects to.
HOST = {"dial": "127.0.0.1:9", "site": "demo", "class": "box", "health": "active", "share": 1}


def build_hosts() -> list[dict[str, Any]]:
    """The endpoint list."""
    return [HOST | {"host": f"s{number}"} for number in range(LISTED_SERVERS)]


async def is_ready(relay: RelayParticipant) -> bool:
    """Whether the relay serves polls."""
    return await relay.call_admin("check") == ["ACK"]
