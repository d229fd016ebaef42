"""Slow start (rule 4 of the simulator): limits the load that a router sends to a server that started lately.

The routers of a fleet do not communicate. Each one limits itself to its share of a cold server's capacity in
time windows of its own, so that all together do not exceed the capacity.

A server's capacity is not known.  The guide is the load of the other servers of its role, in proportion to
their weights: this router's part of that load is what it may send to the server once it is warm.  A weight is
only a number to compare, although many lists give the number of transfers that a server can carry.  So the
weight is a second limit, and never raises the budget above the load of the others.
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
# Share of the possible fills that are misses, assumed if the settings give no weights.
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


class RoleLoad:
    """This router's load of one role, in ms of transfer time per ms."""

    def __init__(self) -> None:
        self.per_ms = SmoothedMean(FAST_GAIN)
        # Transfer time of the requests since the last update.
        self._demand_ms = 0.0

    def record(self, transfer_ms: float) -> None:
        """Count a request."""
        self._demand_ms += transfer_ms

    def end_interval(self, elapsed_ms: float, *, overloaded: bool) -> None:
        """Learn the load from the requests since the last call; during an overload it may only decrease."""
        load = self._demand_ms / elapsed_ms
        if overloaded:
            load = min(load, self.per_ms.get(load))
        if load or self.is_known:  # a router that has got no request yet has not measured a load of zero
            self.per_ms.add(load)
        self._demand_ms = 0.0

    @property
    def is_known(self) -> bool:
        """Whether a load was measured."""
        return self.per_ms.value is not None


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
        # The edges' load is that of all requests, the parents' that of their possible fills.
        self._loads = {api.Role.EDGE: RoleLoad(), api.Role.PARENT: RoleLoad()}
        # The highest sum of the weights listed in each role so far: servers that share the load if none is
        # missing.
        self._max_weights = dict.fromkeys(api.Role, 0.0)

    def adopt(self, settings: api.Settings) -> None:
        """Use these settings for all later limits."""
        zone_router_count = settings.routers_by_zone.get(settings.zone, settings.router_count)
        edge = RoleParameters(
            initial_share=settings.initial_capacity_share,
            warm_up_ms=settings.slow_start_ms,
            overload_multiple=settings.overload_multiple,
            routers=max(zone_router_count, 1),
        )
        parent = RoleParameters(
            initial_share=settings.parent_initial_capacity_share,
            warm_up_ms=settings.parent_slow_start_ms,
            overload_multiple=settings.parent_overload_multiple,
            routers=max(settings.router_count, 1),
        )
        origin = RoleParameters(initial_share=1.0, warm_up_ms=0.0, overload_multiple=0.0, routers=1)
        self._parameters = {api.Role.EDGE: edge, api.Role.PARENT: parent, api.Role.ORIGIN: origin}
        if settings.servers_weighted is not self._has_weights:
            self._max_weights = dict.fromkeys(api.Role, 0.0)
        self._has_weights = settings.servers_weighted
        self.window_ms = max(settings.overload_window_ms, 1.0)

    def record_listed(self, role: api.Role, count: int, total_weight: float) -> None:
        """Record the number and the sum of the weights of the servers of a role in a new list."""
        listed = total_weight if self._has_weights else float(count)
        self._max_weights[role] = max(self._max_weights[role], listed)

    def record_request(self, transfer_ms: float) -> None:
        """Count a new request; ``transfer_ms`` is the mean transfer time of its class."""
        self._loads[api.Role.EDGE].record(transfer_ms)

    def record_fill(self, transfer_ms: float) -> None:
        """Count a request that a parent, or the origin in its place, fills if it is a miss."""
        self._loads[api.Role.PARENT].record(transfer_ms)

    def end_interval(self, elapsed_ms: float, *, overloaded: bool) -> None:
        """Learn the loads from the requests since the last call.

        During an overload, clients repeat requests, which increases the load.
        """
        for load in self._loads.values():
            load.end_interval(elapsed_ms, overloaded=overloaded)

    def rate(self, entry: api.ServerEntry, window: SlowStartWindow, now_ms: float) -> float:
        """Return the transfer time that may be sent to a server, in ms per ms; infinite once it is warm."""
        parameters = self._parameters[entry.role]
        age_ms = max(now_ms - window.cold_since_ms, 0.0)
        if age_ms >= parameters.warm_up_ms:
            return math.inf
        warm_share = (
            parameters.initial_share + (1 - parameters.initial_share) * age_ms / parameters.warm_up_ms
        )
        capacity = self._capacity(entry, parameters)
        return WINDOW_BUDGET_SHARE * parameters.overload_multiple * warm_share * capacity

    def _capacity(self, entry: api.ServerEntry, parameters: RoleParameters) -> float:
        """Return the transfer time, in ms per ms, that this router may send to the server once it is warm."""
        load = self._loads[entry.role]
        if not self._has_weights:
            load_share = PARENT_LOAD_SHARE if entry.role is api.Role.PARENT else 1.0
            return load.per_ms.get(0.0) * load_share / max(self._max_weights[entry.role], 1.0)
        transfers = entry.weight / parameters.routers
        if not load.is_known or not entry.weight:
            return transfers
        total_weight = max(self._max_weights[entry.role], entry.weight)
        return min(transfers, load.per_ms.get(0.0) * entry.weight / total_weight)

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
