"""Durations that configure ``SourceSelector``, in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, fields


class InvalidTimingError(ValueError):
    """A duration is not above 0."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name} must be above 0")


@dataclass(frozen=True)
class SelectionTimings:
    """Durations in ms.  Raises InvalidTimingError where one is not above 0.

    A duration ``x_ms`` with a maximum ``max_x_ms`` is doubled repeatedly up to it.  Waits have jitter: each
    is drawn between half of its duration and all of it.
    """

    # A source that has not answered a poll for this long has failed; doubles with consecutive timeouts.
    response_timeout_ms: float = 1300.0
    max_response_timeout_ms: float = 5200.0

    # A source whose state is older than this is degraded.
    degraded_age_ms: float = 2000.0
    # Another source counts as fresher if its freshness timestamp is later by at least this.
    fresher_by_ms: float = 1000.0
    # Wait until a failed source may be polled again; doubles with consecutive failures.
    retry_ms: float = 100.0
    max_retry_ms: float = 2000.0

    # Time between probes of a source that is not polled; doubles while it fails.
    probe_interval_ms: float = 2000.0
    max_probe_interval_ms: float = 16_000.0

    # How long a preferred source has to be healthy before the selector returns to it; doubles with each
    # failure or degradation of that source while it was polled.
    recovery_ms: float = 10_000.0
    max_recovery_ms: float = 160_000.0

    # Returns are spread over this time, so that the clients of a fleet do not all return at once.
    return_spread_ms: float = 10_000.0
    # Returns from a sibling, which need no recovery time, are spread over this time.
    sibling_return_spread_ms: float = 1000.0
    # Minimum time between switches without a failure; doubles with each such switch.
    switch_interval_ms: float = 1000.0
    max_switch_interval_ms: float = 30_000.0

    # Time after which a doubled duration is reset: the switch interval if there was no such switch, and a
    # source's recovery time if that source was polled without interruption.
    stable_ms: float = 60_000.0

    def __post_init__(self) -> None:
        for duration in fields(self):
            if not getattr(self, duration.name) > 0:
                raise InvalidTimingError(duration.name)
