"""A test harness: relays and routers as real processes on loopback, with faults on their connections."""

from __future__ import annotations

from control_harness.environment import Environment
from control_harness.fake_cache_server import FakeCacheServer
from control_harness.fake_discovery import FakeDiscovery
from control_harness.fault_proxy import FaultProxy
from control_harness.loopback_server import LoopbackServer
from control_harness.participants import Participant, RelayParticipant, RouterParticipant, free_addresses
from control_harness.poller import Poller
from control_harness.process import ProgramProcess
from control_harness.relay_environment import RelayEnvironment

__all__ = [
    "Environment",
    "FakeCacheServer",
    "FakeDiscovery",
    "FaultProxy",
    "LoopbackServer",
    "Participant",
    "Poller",
    "ProgramProcess",
    "RelayEnvironment",
    "RelayParticipant",
    "RouterParticipant",
    "free_addresses",
]
