"""Relays and routers as real processes on loopback, and faults between them."""

from __future__ import annotations

from control_harness.fake_cache_server import Shelf
from control_harness.fake_discovery import Discovery
from control_harness.fault_proxy import Link
from control_harness.participants import Relay, Rig, Router
from control_harness.process import Process
from control_harness.relay_environment import Stage

__all__ = ["Discovery", "Link", "Process", "Relay", "Rig", "Router", "Shelf", "Stage"]
