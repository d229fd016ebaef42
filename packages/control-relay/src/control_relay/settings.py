"""Configuration of a relay's core: durations in milliseconds, sizes in bytes.

``docs/design/control.md`` derives the default values from the fleet's size and load.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """Bounds and durations of ``Relay``."""

    # Names of routers and relays that are members, without an acknowledgement, before their first poll.
    expected_members: tuple[str, ...] = ()
    # Events that arrive within this time of the first undelivered one are delivered in one response.
    batch_window_ms: float = 150.0
    # How long a purge is delivered to members that lack it.
    purge_retention_ms: float = 10_000.0
    # A member that has not polled for this long after its last poll's block time is unreachable.
    absence_timeout_ms: float = 3_000.0
    # Upper bound of a long poll's block time.
    max_block_ms: float = 5_000.0
    # Maximum size of the encoded events in one response; a single event may exceed it.
    max_page_bytes: int = 64_000
    # Purges retained before the oldest ones are merged into purges of groups.
    max_purges: int = 4_096
    # Endpoints in the list; further ones are counted as faults and never delivered.
    max_endpoints: int = 4_096
    # Changes of the endpoint list that the log retains.
    max_list_changes: int = 1_024
    # Total encoded size of the changes that the log retains.
    max_list_change_bytes: int = 1_000_000
    # Routers and relays tracked by name; beyond it the longest unreachable one is evicted.
    max_members: int = 2_048
    # Long polls that wait for an event at the same time.
    max_pending_polls: int = 4_096
    # Number of purges that ``Relay.recent_purges`` reports.
    recent_purges: int = 16
