"""Slow start (rule 4 of the simulator): limits the load that a router sends to a server that started lately.

The routers of a fleet do not communicate. Each one limits itself to its share of a cold server's capacity in
time windows of its own, so that all together do not exceed the capacity.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from thornjunction import interface as api
from thornjunction.estimates import FAST_GAIN, SmoothedMean

# Share of a cold server's budget that a router uses in each window: one window of the server may overlap with
# two of the router, which together must stay within the budget.
WINDOW_BUDGET_SHARE = 0.5
# Share of a router's load that reaches the parents, assumed if the settings give no capacities.
PARENT_LOAD_SHARE = 0.25
# Start time of a server that was warm when it was first listed.
LONG_AGO_MS = -math.inf


class SlowStartWindow:
    """The transfer time that this router has sent to one server in the present window."""

    def __init__(self, started_ms: float) -> None:
        """Begin for a server that started at this time; 0 means that it started long ago."""
        self.cold_since_ms = started_ms if started_ms > 0 else LONG_AGO_MS
        self.spent_ms = 0.0
        # Length of the present window as a share of a full one; its budget is the same share.
        self.length_share = 1.0
        # A random number drawn for each window. It converts a budget of a fraction of one request into the
        # same probability of one request.
        self.rounding = 1.0
        self._ends_at_ms = math.nan

    def restart(self, now_ms: float) -> None:
        """Treat the server as started now: it was unreachable, so its process may be new and cold."""
        self.cold_since_ms = now_ms
        self._ends_at_ms = math.nan

    def advance(self, now_ms: float, window_ms: float, draw: Callable[[], float]) -> None:
        """Begin the window that ``now_ms`` lies in, unless it is the present one.

        The first window has a random length: hundreds of routers learn of a start at the same time, and their
        windows must not all begin together.
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
class RoleParameters:
    """The slow-start parameters of the servers of one role."""

    initial_share: float  # share of its capacity that a server has at its start
    warm_up_ms: float  # time until a server has its full capacity
    overload_multiple: float  # load that a cold server can take for one window, as a multiple of its capacity
    routers: int  # number of routers that share the server
    load_share: float  # share of this router's load that reaches the role


class SlowStart:
    """Limits this router's load on each cold server to its share, by the settings.

    In a fleet of two hundred routers, the share of each may be a fraction of one request per window. Such a
    fraction is treated as the probability of one request in that window. If each router rounded it up, or
    saved it for later windows, all of them together could send two hundred requests at the same moment.
    """

    def __init__(self, draw: Callable[[], float]) -> None:
        self._draw = draw
        self._parameters: dict[api.Role, RoleParameters] = {}
        self._has_weights = False
        self.window_ms = 1.0
        # Transfer time of the requests to this router, in ms per ms.
        self.offered_load = SmoothedMean(FAST_GAIN)
        # Transfer time of the requests since the last update of ``offered_load``.
        self._demand_ms = 0.0
        # The highest number of servers listed in each role so far, which share the load if none is missing.
        self._max_listed = dict.fromkeys(api.Role, 1)

    def adopt(self, settings: api.Settings) -> None:
        """Use these settings for all later limits."""
        zone_router_count = settings.routers_by_zone.get(settings.zone, settings.router_count)
        edge = RoleParameters(
            initial_share=settings.initial_capacity_share,
            warm_up_ms=settings.slow_start_ms,
            overload_multiple=settings.overload_multiple,
            routers=max(zone_router_count, 1),
            load_share=1.0,
        )
        parent = RoleParameters(
            initial_share=settings.parent_initial_capacity_share,
            warm_up_ms=settings.parent_slow_start_ms,
            overload_multiple=settings.parent_overload_multiple,
            routers=max(settings.router_count, 1),
            load_share=PARENT_LOAD_SHARE,
        )
        origin = RoleParameters(
            initial_share=1.0, warm_up_ms=0.0, overload_multiple=0.0, routers=1, load_share=0.0
        )
        self._parameters = {api.Role.EDGE: edge, api.Role.PARENT: parent, api.Role.ORIGIN: origin}
        self._has_weights = settings.servers_weighted
        self.window_ms = max(settings.overload_window_ms, 1.0)

    def record_listed(self, role: api.Role, count: int) -> None:
        """Record the number of servers of a role in a new list."""
        self._max_listed[role] = max(self._max_listed[role], count)

    def record_request(self, transfer_ms: float) -> None:
        """Count a new request; ``transfer_ms`` is the mean transfer time of its class."""
        self._demand_ms += transfer_ms

    def end_interval(self, elapsed_ms: float, *, overloaded: bool) -> None:
        """Learn the load from the requests since the last call.

        During an overload, clients repeat requests, which increases the load, so it may then only decrease.
        """
        load = self._demand_ms / elapsed_ms
        if overloaded:
            load = min(load, self.offered_load.get(load))
        self.offered_load.add(load)
        self._demand_ms = 0.0

    def rate(self, entry: api.ServerEntry, window: SlowStartWindow, now_ms: float) -> float:
        """Return the transfer time that may be sent to a server, in ms per ms; infinite once it is warm."""
        parameters = self._parameters[entry.role]
        age_ms = max(now_ms - window.cold_since_ms, 0.0)
        if age_ms >= parameters.warm_up_ms:
            return math.inf
        if self._has_weights:
            capacity = entry.weight / parameters.routers
        else:  # the load of a warm server from this router alone
            capacity = self.offered_load.get(0.0) * parameters.load_share / self._max_listed[entry.role]
        warm_share = (
            parameters.initial_share + (1 - parameters.initial_share) * age_ms / parameters.warm_up_ms
        )
        return WINDOW_BUDGET_SHARE * parameters.overload_multiple * warm_share * capacity

    def admits(
        self, entry: api.ServerEntry, window: SlowStartWindow, transfer_ms: float, now_ms: float
    ) -> bool:
        """Return whether one more request of this transfer time is within the budget of this window."""
        if window.cold_since_ms == LONG_AGO_MS:  # most servers are warm: they need no further computation
            return True
        rate = self._budgeted_rate(entry, window, now_ms)
        if rate is None:
            return True
        budget_ms = rate * self.window_ms * window.length_share
        return window.spent_ms + window.rounding * transfer_ms <= budget_ms

    def charge(
        self, entry: api.ServerEntry, window: SlowStartWindow, transfer_ms: float, now_ms: float
    ) -> None:
        """Charge a request that is sent to the budget of this window."""
        if window.cold_since_ms == LONG_AGO_MS:
            return
        if self._budgeted_rate(entry, window, now_ms) is not None:
            window.spent_ms += transfer_ms

    def _budgeted_rate(self, entry: api.ServerEntry, window: SlowStartWindow, now_ms: float) -> float | None:
        """Return a cold server's rate, after its window was advanced to this time; None for a warm server."""
        rate = self.rate(entry, window, now_ms)
        if rate == math.inf:
            return None
        window.advance(now_ms, self.window_ms, self._draw)
        return rate
