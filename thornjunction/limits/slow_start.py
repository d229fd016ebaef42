"""Slow start (rule 4): what each router may send to a server that started lately.

The routers of a fleet do not communicate; each takes its share of a cold server's capacity in windows of
its own, so that all together stay under what the server can do.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from thornjunction import interface as api
from thornjunction.estimates import FAST_GAIN, SmoothedMean

# Part of a cold server's budget that is used in each window: two windows of a router that meet in one
# window of the server's own stay within its budget.
WINDOW_BUDGET_SHARE = 0.5
# Share of the load that reaches the parents, where the settings tell no capacities.
PARENT_LOAD_SHARE = 0.25
# Start of a server that was warm when it was first listed.
LONG_AGO_MS = -math.inf


class SlowStartWindow:
    """What this router has sent to one server in the present window, in ms of transfer time."""

    def __init__(self, started_ms: float) -> None:
        """Begin with a server that started at this time; 0 stands for long ago."""
        self.cold_since_ms = started_ms if started_ms > 0 else LONG_AGO_MS
        self.spent_ms = 0.0
        # Part of a whole window that the present one lasts, and with it of the budget.
        self.length_share = 1.0
        # Drawn for each window: what is less than one request becomes a chance of one request.
        self.rounding = 1.0
        self._ends_at_ms = math.nan

    def restart(self, now_ms: float) -> None:
        """Treat the server as started now: it was away, so its process may be a new and cold one."""
        self.cold_since_ms = now_ms
        self._ends_at_ms = math.nan

    def advance(self, now_ms: float, window_ms: float, draw: Callable[[], float]) -> None:
        """Begin the window that ``now_ms`` lies in, unless it is the present one.

        The first window ends at a random moment and counts in part: hundreds of routers hear of a start
        together and must not all begin new windows together.
        """
        if now_ms < self._ends_at_ms:
            return
        if math.isnan(self._ends_at_ms):
            self.length_share = 1.0 - draw()
            self._ends_at_ms = now_ms + window_ms * self.length_share
        else:
            self.length_share = 1.0
            windows_passed = math.floor((now_ms - self._ends_at_ms) / window_ms) + 1
            self._ends_at_ms += window_ms * windows_passed
        self.spent_ms = 0.0
        self.rounding = 1.0 - draw()


@dataclass(frozen=True, slots=True)
class RoleTerms:
    """How servers of one role warm up, by the settings."""

    start_share: float  # of its capacity, that a server has at its start
    warm_up_ms: float
    surge_multiple: float  # of its present capacity, that a cold server bears for a window
    routers: int  # that share the server
    load_share: float  # of the load of this router, that reaches this role


class SlowStart:
    """Each router's share of each cold server, by the settings.

    Of a fleet of two hundred, each router may have a part of one request in a window. What is less than a
    whole request is a chance of one, until the window ends. Rounded up, or saved until it makes one, two
    hundred parts would be two hundred requests at the moment when all routers are asked.
    """

    def __init__(self, draw: Callable[[], float]) -> None:
        self._draw = draw
        self._terms: dict[api.Role, RoleTerms] = {}
        self._has_weights = False
        self.window_ms = 1.0
        # ms of transfer time that this router is asked for in each ms.
        self.offered_load = SmoothedMean(FAST_GAIN)
        self._demand_ms = 0.0  # the same of the present interval, as a sum
        # Most servers ever listed in each role: those that bear the load where none is away.
        self._most_listed = dict.fromkeys(api.Role, 1)

    def adopt(self, settings: api.Settings) -> None:
        """Share by these settings from now on."""
        zone_routers = settings.routers_by_zone.get(settings.zone, settings.router_count)
        edge = RoleTerms(
            start_share=settings.initial_capacity_share,
            warm_up_ms=settings.slow_start_ms,
            surge_multiple=settings.overload_multiple,
            routers=max(zone_routers, 1),
            load_share=1.0,
        )
        parent = RoleTerms(
            start_share=settings.parent_initial_capacity_share,
            warm_up_ms=settings.parent_slow_start_ms,
            surge_multiple=settings.parent_overload_multiple,
            routers=max(settings.router_count, 1),
            load_share=PARENT_LOAD_SHARE,
        )
        origin = RoleTerms(start_share=1.0, warm_up_ms=0.0, surge_multiple=0.0, routers=1, load_share=0.0)
        self._terms = {api.Role.EDGE: edge, api.Role.PARENT: parent, api.Role.ORIGIN: origin}
        self._has_weights = settings.servers_weighted
        self.window_ms = max(settings.overload_window_ms, 1.0)

    def note_listed(self, role: api.Role, count: int) -> None:
        """Note how many servers of a role a new list names."""
        self._most_listed[role] = max(self._most_listed[role], count)

    def note_request(self, transfer_ms: float) -> None:
        """Count a new request, of this transfer time by the mean of its class."""
        self._demand_ms += transfer_ms

    def end_interval(self, elapsed_ms: float, *, strained: bool) -> None:
        """Learn the load from the requests since the last call.

        Under strain, clients' repeats swell it; so it may then fall but not rise.
        """
        load = self._demand_ms / elapsed_ms
        if strained:
            load = min(load, self.offered_load.get(load))
        self.offered_load.add(load)
        self._demand_ms = 0.0

    def rate(self, entry: api.ServerEntry, window: SlowStartWindow, now_ms: float) -> float:
        """Return the ms of transfer time that may be asked of a server in each ms; infinite once warm."""
        terms = self._terms[entry.role]
        age_ms = max(now_ms - window.cold_since_ms, 0.0)
        if age_ms >= terms.warm_up_ms:
            return math.inf
        if self._has_weights:
            capacity = entry.weight / terms.routers
        else:  # what a warm server bears from this router alone
            capacity = self.offered_load.get(0.0) * terms.load_share / self._most_listed[entry.role]
        warm_share = terms.start_share + (1 - terms.start_share) * age_ms / terms.warm_up_ms
        return WINDOW_BUDGET_SHARE * terms.surge_multiple * warm_share * capacity

    def admits(
        self, entry: api.ServerEntry, window: SlowStartWindow, transfer_ms: float, now_ms: float
    ) -> bool:
        """Decide whether one more request of this transfer time fits this window's share."""
        if window.cold_since_ms == LONG_AGO_MS:  # as most servers are
            return True
        rate = self._budgeted_rate(entry, window, now_ms)
        if rate is None:
            return True
        budget_ms = rate * self.window_ms * window.length_share
        return window.spent_ms + window.rounding * transfer_ms <= budget_ms

    def charge(
        self, entry: api.ServerEntry, window: SlowStartWindow, transfer_ms: float, now_ms: float
    ) -> None:
        """Count a request that is sent against this window's share."""
        if window.cold_since_ms == LONG_AGO_MS:
            return
        if self._budgeted_rate(entry, window, now_ms) is not None:
            window.spent_ms += transfer_ms

    def _budgeted_rate(self, entry: api.ServerEntry, window: SlowStartWindow, now_ms: float) -> float | None:
        """Return a cold server's rate, in the window that lies at this time; None for a warm server."""
        rate = self.rate(entry, window, now_ms)
        if rate == math.inf:
            return None
        window.advance(now_ms, self.window_ms, self._draw)
        return rate
