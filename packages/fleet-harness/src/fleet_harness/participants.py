"""The routers of a scenario, with their groups and their settings of the fleet."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from fleet_sim.scenario import Scenario, ScenarioSyntaxError

# Timings of every router: a failure is detected in one to three seconds, without false ones under load.
TIMINGS_MS: Mapping[str, float] = {
    "probe_every_ms": 200,
    "probe_timeout_ms": 80,
    "suspicion_least_ms": 600,
    "suspicion_most_ms": 2400,
    "sync_every_ms": 500,
    "rejoin_ms": 1000,
}

# The name of the fleet of a scenario's members.
FLEET = "harness"

# The name of the fleet to which routers of ``other_fleet`` belong.
OTHER_FLEET = "other"

# The secret of the fleet's members.
SECRET = b"r" * 32

# The secret of routers of ``other_secret``.
OTHER_SECRET = b"o" * 32

# The field of ``Participants`` for each header line of a scenario that names routers.
HEADER_GROUPS: Mapping[str, str] = {
    "voters": "voters",
    "foreign": "other_secret",
    "strangers": "other_fleet",
    "asks": "contacts",
}


@dataclass(frozen=True)
class Participants:
    """The names of the routers, and the groups into which a scenario's header divides them.

    Routers of ``other_secret`` and ``other_fleet`` are not members of the fleet; all others are.  The seeds
    of each router are ``contacts``, or all others if that is empty.  All members vote if ``voters`` is empty.
    ``timings_ms`` override ``TIMINGS_MS``.
    """

    names: tuple[str, ...]
    voters: tuple[str, ...] = ()
    other_secret: tuple[str, ...] = ()
    other_fleet: tuple[str, ...] = ()
    contacts: tuple[str, ...] = ()
    timings_ms: Mapping[str, float] = field(default_factory=dict)

    @classmethod
    def from_scenario(cls, scenario: Scenario) -> Participants:
        """Read a scenario's header; raises ScenarioSyntaxError for an unsupported line or unknown name."""
        groups = dict(scenario.options)
        timings = [word.partition("=") for word in groups.pop("timings", ())]
        if unknown := groups.keys() - HEADER_GROUPS.keys():
            message = f"the harness does not support the header line {', '.join(sorted(unknown))}"
            raise ScenarioSyntaxError(message)
        if unknown := {name for group in groups.values() for name in group} - set(scenario.names):
            message = f"no node {', '.join(sorted(unknown))}"
            raise ScenarioSyntaxError(message)
        return cls(
            scenario.names,
            **{HEADER_GROUPS[key]: names for key, names in groups.items()},
            timings_ms={name: float(value) for name, _, value in timings},
        )

    @property
    def non_members(self) -> frozenset[str]:
        """The routers that are not members of the fleet."""
        return frozenset(self.other_secret + self.other_fleet)

    def fleet_settings(self, name: str) -> dict[str, object]:
        """Return a router's settings of fleet, voters and timings in section ``[fleet]``."""
        members = [other for other in self.names if other not in self.non_members]
        return {
            "fleet": OTHER_FLEET if name in self.other_fleet else FLEET,
            "voters": list(self.voters) or members,
            "timings": {**TIMINGS_MS, **self.timings_ms},
        }

    def seeds(self, name: str) -> list[str]:
        """Return the names of a router's seeds, which it contacts first."""
        return [seed for seed in self.contacts or self.names if seed != name]

    def secret(self, name: str) -> bytes:
        """Return the secret with which a router authenticates its datagrams."""
        return OTHER_SECRET if name in self.other_secret else SECRET
