"""Two hundred routers that know nothing of one another, and an origin that stops when it is overloaded.

As the protocol says, it stops when it is asked for more than 2.5 times its capacity for 3 s.
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

# Seconds after the burst within which service is back.
RECOVERY_S = 5

# The part of the demand that stops the origin which the fleet may come to.
MAX_DEMAND_SHARE = 0.9


@pytest.fixture(scope="module")
def simulation() -> FleetSimulation:
    """A simulation that has run."""
    simulation = FleetSimulation()
    simulation.run()
    return simulation


def test_two_hundred_routers_never_push_the_origin_over(simulation: FleetSimulation) -> None:
    demand = [simulation.origin.demand[second] for second in range(int(ARRIVALS_S))]
    assert simulation.origin.outages_ms == [], f"requests of each second: {demand}"
    # The demand may exceed the capacity for moments, never for the 3 s after which the origin stops.
    most_in_3_s = max(sum(demand[second : second + 3]) for second in range(len(demand) - 2))
    bearable_in_3_s = OVERLOAD_FACTOR * 3 * ORIGIN_CAPACITY_PER_S
    assert 3 * ORIGIN_CAPACITY_PER_S < most_in_3_s < bearable_in_3_s * MAX_DEMAND_SHARE, demand


def test_service_is_back_within_five_seconds_of_the_bursts_end(simulation: FleetSimulation) -> None:
    after_burst = range(int(BURST_END_S) + RECOVERY_S, int(ARRIVALS_S) - 1)
    good = sum(simulation.good[second] for second in after_burst)
    due = sum(simulation.due[second] for second in after_burst)
    shares = {second: round(simulation.good[second] / simulation.due[second], 2) for second in simulation.due}
    assert good / due >= 0.9, shares
