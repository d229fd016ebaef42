"""Seeded simulation of the fleet's sans-I/O machines: network, clocks, processes, faults, timelines."""

from .cluster import Invariant, Violation, World
from .faults import KINDS, Fault, Schedule, Weather, draw_schedule
from .network import Network, Quality
from .node import Disk, Factory, Node, State
from .run import Outcome, Plan, Subject, drawn_plan, node_names, run
from .shrink import shrink
from .trace import Entry, Kind, told_text
from .trace_rendering import Renderer, render

__all__ = [
    "KINDS",
    "Disk",
    "Entry",
    "Factory",
    "Fault",
    "Invariant",
    "Kind",
    "Network",
    "Node",
    "Outcome",
    "Plan",
    "Quality",
    "Renderer",
    "Schedule",
    "State",
    "Subject",
    "Violation",
    "Weather",
    "World",
    "draw_schedule",
    "drawn_plan",
    "node_names",
    "render",
    "run",
    "shrink",
    "told_text",
]
