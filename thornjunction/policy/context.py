"""The context that all decision components use while they handle an event."""

from __future__ import annotations

import math
from collections.abc import Callable

from thornjunction import interface as api


class DecisionContext:
    """The time of the present event, the settings, the random numbers and the actions of this event so far.

    ``draw`` gives the router's random numbers, in [0, 1). All times are ms of the caller's monotonic clock.
    """

    def __init__(self, settings: api.Settings, draw: Callable[[], float]) -> None:
        self.draw = draw
        self.now_ms = -math.inf
        self.actions: list[api.Action] = []
        self.adopt(settings)

    def adopt(self, settings: api.Settings) -> None:
        """Use these settings for all later decisions."""
        self.settings = settings
        # Whether outcomes do not report hits, fills and sources.
        self.fills_unreported = settings.fill_reporting is api.FillReporting.NONE

    def begin_event(self, now_ms: float) -> None:
        """Start a new list of actions at this time, or at the time of the last event if that is later."""
        self.now_ms = max(now_ms, self.now_ms)
        self.actions = []
