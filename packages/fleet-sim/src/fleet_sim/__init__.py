"""Seeded simulation of sans-I/O state machines: network, clocks, processes, faults, timelines."""

from .cluster import ClusterOptions, Invariant, SimulatedCluster
from .fault_plans import FAULT_KINDS, FaultProfile, Schedule, draw_schedule
from .faults import Fault
from .network import LinkQuality, Network
from .node import Disk, MachineFactory, Node, ProcessState
from .run import Outcome, Plan, Subject, draw_plan, node_names, run
from .shrink import shrink
from .trace import EntryKind, TraceEntry, notice_text
from .trace_rendering import TraceRenderer, render_trace
from .violations import InvariantViolationError

__all__ = [
    "FAULT_KINDS",
    "ClusterOptions",
    "Disk",
    "EntryKind",
    "Fault",
    "FaultProfile",
    "Invariant",
    "InvariantViolationError",
    "LinkQuality",
    "MachineFactory",
    "Network",
    "Node",
    "Outcome",
    "Plan",
    "ProcessState",
    "Schedule",
    "SimulatedCluster",
    "Subject",
    "TraceEntry",
    "TraceRenderer",
    "draw_plan",
    "draw_schedule",
    "node_names",
    "notice_text",
    "render_trace",
    "run",
    "shrink",
]
