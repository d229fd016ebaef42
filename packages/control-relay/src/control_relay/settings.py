"""What a relay's core is told at its start."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """Times in ms, sizes in bytes; the figures are those of ``docs/design/control.md``."""

    expected: tuple[str, ...] = ()  # routers and relays that count as not confirmed until they have polled
    join_ms: float = 150.0  # events that come within this of the first one that waits go out as one answer
    hold_ms: float = 10_000.0  # how long a purge is told
    absent_ms: float = 3_000.0  # without a poll, beyond the last one's block: cut off
    most_block_ms: float = 5_000.0  # of a long poll
    page_bytes: int = 64_000  # of an answer's events, or one event
    most_purges: int = 4_096
    most_shelfs: int = 4_096
    most_changes: int = 1_024  # of the list, in the log
    most_change_bytes: int = 1_000_000
    most_routers: int = 2_048  # named; past it the longest cut off is forgotten
    most_waiting: int = 4_096  # long polls
    recent: int = 16  # purges that ``Relay.purges`` shows
