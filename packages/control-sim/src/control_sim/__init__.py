"""Seeded simulation of discovery, relays and routers under random faults (``docs/design/control.md``)."""

from __future__ import annotations

from control_sim.command import run_seed, run_seeds, shrunk_timeline
from control_sim.fault_plans import FAULT_KINDS, draw_plan
from control_sim.node_names import NODE_NAMES
from control_sim.topology import build_subject

__all__ = [
    "FAULT_KINDS",
    "NODE_NAMES",
    "build_subject",
    "draw_plan",
    "run_seed",
    "run_seeds",
    "shrunk_timeline",
]
