"""Seeded simulation of discovery, relays and routers under drawn faults (``docs/design/control.md``)."""

from __future__ import annotations

from control_sim.command import outcome_of, outcomes, story
from control_sim.fault_plans import KINDS, plan
from control_sim.invariants import Checks
from control_sim.topology import NAMES, subject

__all__ = ["KINDS", "NAMES", "Checks", "outcome_of", "outcomes", "plan", "story", "subject"]
