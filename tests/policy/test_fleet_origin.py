"""Two hundred routers that do not communicate, and an origin that stops when it is overloaded.

As in the protocol, it stops when its demand exceeds 2.5 times its capacity for 3 s.
"""

from __future__ import annotations

import pytest

from tests.policy.fleet_simulation import (
    ARRIVALS_S,
    BURST_END_S,
    ORIGIN_CAPACITY_PER_S,
    OVERLOAD_FACTOR,
    FleetSimulation,
)

# Seconds after the burst within which requests are served in time again.
RECOVERY_S = 5

# Upper bound of the fleet's demand, as a share of the demand at which the origin stops.
MAX_DEMAND_SHARE = 0.9


@pytest.fixture(scope="module")
def simulation() -> FleetSimulation:
    """Return a simulation that has finished."""
    simulation = FleetSimulation()
    simulation.run()
    return simulation


def test_two_hundred_routers_never_make_the_origin_stop(simulation: FleetSimulation) -> None:
    demand = [simulation.origin.demand[second] for second in range(int(ARRIVALS_S))]
    assert simulation.origin.outages_ms == [], f"requests in each second: {demand}"
    # The demand may exceed the capacity for a short time, but not for the 3 s after which the origin stops.
    peak_in_3_s = max(sum(demand[second : second + 3]) for second in range(len(demand) - 2))
    stopping_in_3_s = OVERLOAD_FACTOR * 3 * ORIGIN_CAPACITY_PER_S
    assert 3 * ORIGIN_CAPACITY_PER_S < peak_in_3_s < stopping_in_3_s * MAX_DEMAND_SHARE, demand


def test_service_recovers_within_five_seconds_of_the_bursts_end(simulation: FleetSimulation) -> None:
    after_burst = range(int(BURST_END_S) + RECOVERY_S, int(ARRIVALS_S) - 1)
    in_time = sum(simulation.in_time[second] for second in after_burst)
    arrived = sum(simulation.arrived[second] for second in after_burst)
    shares = {
        second: round(simulation.in_time[second] / simulation.arrived[second], 2)
        for second in simulation.arrived
    }
    assert in_time / arrived >= 0.9, shares
