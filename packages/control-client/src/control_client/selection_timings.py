"""Durations by which ``SourceSelector`` decides, in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, fields


class InvalidTimingError(ValueError):
    """A duration is not above 0."""

    def __init__(self, name: str) -> None:
        super().__init__(f"{name} must be above 0")


@dataclass(frozen=True)
class SelectionTimings:
    """Durations in ms, all above 0, else InvalidTimingError.

    Those with a maximum double each time up to it.  Waits are drawn between half and all of their duration.
    """

    response_timeout_ms: float = 1300.0
    """A source that has not answered a poll for this long has failed; doubles with consecutive timeouts."""

    max_response_timeout_ms: float = 5200.0

    degraded_age_ms: float = 2000.0
    """A source whose state is older than this is degraded."""

    fresher_by_ms: float = 1000.0
    """Another source is fresher if its freshness timestamp is later by this."""

    retry_ms: float = 100.0
    """Wait until a failed source may be polled again; doubles with consecutive failures."""

    max_retry_ms: float = 2000.0

    probe_interval_ms: float = 2000.0
    """Time between probes of a source that is not polled; doubles while it fails."""

    max_probe_interval_ms: float = 16_000.0

    recovery_ms: float = 10_000.0
    """How long a preferred source has to be healthy before the selector returns to it.

    Doubles with each time that it failed while it was polled.
    """

    max_recovery_ms: float = 160_000.0

    return_spread_ms: float = 10_000.0
    """Returns are spread over this time, so that a fleet does not return at once."""

    sibling_return_spread_ms: float = 1000.0
    """The same for returns from a sibling, which need no recovery time."""

    switch_interval_ms: float = 1000.0
    """Time between switches that no failure forces; doubles with each."""

    max_switch_interval_ms: float = 30_000.0

    stable_ms: float = 60_000.0
    """After this time without such a switch, or with one source, its penalties are forgotten."""

    def __post_init__(self) -> None:
        for duration in fields(self):
            if not getattr(self, duration.name) > 0:
                raise InvalidTimingError(duration.name)
