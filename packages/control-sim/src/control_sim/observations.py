"""Observations of a run, recorded for its invariants."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from control_relay import Readiness
from fleet_sim import Node, SimulatedCluster

from control_sim.discovery import Discovery
from control_sim.discovery_history import DiscoveryHistory
from control_sim.poll_client import PollClient
from control_sim.relay_node import RelayNode
from control_sim.router_nodes import Endpoints, PlainRouterNode, RouterNode


class RelayPurge(NamedTuple):
    """A purge that a relay has numbered."""

    target: str | int
    issued_unix_ms: float
    expires_at_ms: float


class _NumberedList(NamedTuple):
    number: int
    endpoints: Endpoints


class Observations:
    """Records the events that each node has accepted and that each relay has numbered.

    ``accepted_numbers`` has the last event number that was accepted, by node and epoch.
    """

    def __init__(self) -> None:
        self.history = DiscoveryHistory()
        self.accepted_numbers: dict[tuple[str, str], int] = {}
        self._relay_purges: dict[str, dict[int, RelayPurge]] = {}  # by epoch and number
        self._relay_lists: dict[str, _NumberedList] = {}  # by epoch

    def record(self, cluster: SimulatedCluster, node: Node) -> None:
        """Record what a node did in the last step, by the kind of its state machine."""
        machine = node.machine
        if isinstance(machine, Discovery):
            self.history.observe(cluster, node, machine)
        elif isinstance(machine, RouterNode):
            self._record_accepted(machine.name, machine.client)
        elif isinstance(machine, RelayNode):
            self._record_accepted(machine.name, machine.client)
            if machine.relay.readiness is Readiness.READY:
                self._record_purges(machine)

    def endpoints_of(self, machine: object) -> Endpoints | None:
        """Return the list that a node serves from; None for a relay that is not ready, and for discovery."""
        if isinstance(machine, RouterNode | PlainRouterNode):
            return machine.state.endpoints
        if isinstance(machine, RelayNode) and machine.relay.readiness is Readiness.READY:
            return self.relay_list(machine)
        return None

    def relay_list(self, machine: RelayNode) -> Endpoints:
        """Return a relay's list, which is decoded once for each event number."""
        number = machine.relay.state.endpoints.number
        cached = self._relay_lists.get(machine.relay.epoch)
        if cached is None or cached.number != number:
            cached = _NumberedList(number, machine.endpoints())
            self._relay_lists[machine.relay.epoch] = cached
        return cached.endpoints

    def relay_purges(self, epoch: str) -> Mapping[int, RelayPurge]:
        """Return all purges of a relay's epoch, by event number."""
        return self._relay_purges.get(epoch, {})

    def _record_accepted(self, name: str, client: PollClient) -> None:
        for epoch, number in client.completed_epochs.items():
            self.accepted_numbers[name, epoch] = max(number, self.accepted_numbers.get((name, epoch), 0))

    def _record_purges(self, machine: RelayNode) -> None:
        seen = self._relay_purges.setdefault(machine.relay.epoch, {})
        for purge in machine.relay.state.purges.by_expiry():
            if purge.number not in seen:
                seen[purge.number] = RelayPurge(purge.target, purge.issued_unix_ms, purge.expires_at_ms)


def active_purges(machine: RouterNode | RelayNode) -> Mapping[Any, float]:
    """Return the latest issue time (Unix ms) of the purges that a node has, by target."""
    if isinstance(machine, RouterNode):
        return machine.state.purges
    return {purge.target: purge.issued_unix_ms for purge in machine.relay.state.purges.by_expiry()}
