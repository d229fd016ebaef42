"""The times by which ``Sources`` decides, in ms."""

from __future__ import annotations

from dataclasses import dataclass, fields


@dataclass(frozen=True)
class SourceTimes:
    """``silent_ms`` after a poll without an answer a source is left, doubled with each in a row that was,
    whichever, up to ``most_silent_ms``; ``behind_ms`` of age it counts as
    behind, and another is younger if its as-of is later by ``younger_ms``.  A source that failed is tried
    again after ``again_ms``, doubled each time up to ``most_again_ms``; probes of sources that are not
    asked are ``look_ms`` apart, as they fail up to ``most_look_ms``.  An earlier source has to answer well
    for ``good_ms``, doubled with each time that it failed when it was asked up to ``most_good_ms``, and is
    gone back to within ``spread_ms``; from a sibling at its first good answer, within
    ``sibling_spread_ms``.  Moves that no failure forces are ``rest_ms`` apart, doubled each time up to
    ``most_rest_ms``, until ``calm_ms`` pass without one.  All waits are drawn between half and the whole.
    Raises ValueError."""

    silent_ms: float = 1300.0
    most_silent_ms: float = 5200.0
    behind_ms: float = 2000.0
    younger_ms: float = 1000.0
    again_ms: float = 100.0
    most_again_ms: float = 2000.0
    look_ms: float = 2000.0
    most_look_ms: float = 16_000.0
    good_ms: float = 10_000.0
    most_good_ms: float = 160_000.0
    spread_ms: float = 10_000.0
    sibling_spread_ms: float = 1000.0
    rest_ms: float = 1000.0
    most_rest_ms: float = 30_000.0
    calm_ms: float = 60_000.0

    def __post_init__(self) -> None:
        for field in fields(self):
            if not getattr(self, field.name) > 0:
                raise ValueError(f"{field.name} must be above 0")
