"""Relays and routers as real processes on loopback, and faults between them."""

from __future__ import annotations

from control_rig.discovery import Discovery
from control_rig.link import Link
from control_rig.process import Process
from control_rig.rig import Relay, Rig, Router
from control_rig.shelf import Shelf
from control_rig.stage import Stage

__all__ = ["Discovery", "Link", "Process", "Relay", "Rig", "Router", "Shelf", "Stage"]
