"""Who plays: the routers of a rig, and what is odd about some of them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from fleet_sim.scenario import Scenario, ScenarioSyntaxError

TIMINGS: Mapping[str, float] = {
    "probe_every_ms": 200,
    "probe_timeout_ms": 80,
    "suspicion_least_ms": 600,
    "suspicion_most_ms": 2400,
    "sync_every_ms": 500,
    "rejoin_ms": 1000,
}  # a failure is found in one to three seconds, and a busy machine does not look like one
GROUPS = "voters", "foreign", "strangers", "asks"


@dataclass(frozen=True)
class Cast:
    """``foreign`` routers have another secret, ``strangers`` another fleet's name; all others are the
    fleet.  Each asks those of ``asks`` first, all others where none are named."""

    names: tuple[str, ...]
    voters: tuple[str, ...] = ()
    foreign: tuple[str, ...] = ()
    strangers: tuple[str, ...] = ()
    asks: tuple[str, ...] = ()
    timings: Mapping[str, float] = field(default_factory=dict)

    @classmethod
    def of(cls, scenario: Scenario) -> Cast:
        """By the head's lines of these names and ``timings: NAME=MS ..``; ScenarioSyntaxError for others."""
        told = dict(scenario.options)
        pairs = [word.partition("=") for word in told.pop("timings", ())]
        if unknown := told.keys() - set(GROUPS):
            raise ScenarioSyntaxError(f"a rig knows no {', '.join(sorted(unknown))}")
        if unknown := {name for group in told.values() for name in group} - set(scenario.names):
            raise ScenarioSyntaxError(f"no node {', '.join(sorted(unknown))}")
        return cls(scenario.names, **told, timings={name: float(ms) for name, _, ms in pairs})

    @property
    def outside(self) -> frozenset[str]:
        """Those that are not of the fleet."""
        return frozenset(self.foreign + self.strangers)

    def settings(self, name: str) -> dict[str, object]:
        """What a router's ``[fleet]`` section says of the fleet."""
        voters = self.voters or tuple(other for other in self.names if other not in self.outside)
        return {
            "fleet": "strange" if name in self.strangers else "rig",
            "voters": list(voters),
            "timings": {**TIMINGS, **self.timings},
        }

    def seeds(self, name: str) -> list[str]:
        return [seed for seed in self.asks or self.names if seed != name]

    def secret(self, name: str) -> bytes:
        return (b"o" if name in self.foreign else b"r") * 32
