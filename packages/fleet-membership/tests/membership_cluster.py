"""A simulated cluster of members, for tests."""

from __future__ import annotations

from dataclasses import replace
from typing import Any, NamedTuple, cast

from fleet_membership import (
    Membership,
    MembershipSettings,
    MembershipView,
    MemberState,
    PartitionMode,
    UserMessageHandler,
)
from fleet_sim import ClusterOptions, LinkQuality, Node, SimulatedCluster
from gossip_codec import Codec, Envelope
from sansio_core import Action, Address, Notice, RandomSource

SECRET = bytes(range(16))
UNUSED_ADDRESS = ("127.0.0.1", 9)  # the address of no member
POLL_MS = 500.0


class ObservedNotice(NamedTuple):
    """A notice, with the member that emitted it and the simulated time in ms."""

    at_ms: float
    observer: str
    notice: Notice


class MembershipCluster(SimulatedCluster):
    """Members ``r0``, ``r1`` and so on; records all notices and sent datagrams.

    ``overrides`` holds the settings by member that differ from the defaults.
    """

    def __init__(self, count: int, voters: int = 3, seed: int = 1, loss: float = 0.0) -> None:
        names = [f"r{index}" for index in range(count)]
        self.voters = tuple(names[:voters])
        self.observed: list[ObservedNotice] = []
        self.sent: list[bytes] = []
        self.overrides: dict[str, dict[str, Any]] = {}
        self.user_message_handlers: dict[str, UserMessageHandler] = {}
        options = ClusterOptions(base_quality=LinkQuality(loss=loss), describe=self._record_sent)
        super().__init__(seed, names, self.build_member, options)
        self.listeners.append(self._record_notice)

    def _record_sent(self, data: bytes) -> str:
        self.sent.append(data)
        return ""

    def _record_notice(self, node: Node, notice: Notice) -> None:
        self.observed.append(ObservedNotice(self.now, node.name, notice))

    def build_member(
        self, name: str, address: Address, incarnation: int, random: RandomSource, disk: object
    ) -> Membership:
        seeds = tuple(self.nodes[voter].address for voter in self.voters)
        settings = MembershipSettings(name, address, "fleet", SECRET, seeds, self.voters, incarnation)
        settings = replace(settings, **self.overrides.get(name, {}))
        return Membership(settings, random, self.user_message_handlers.get(name))

    def start_all(self, **overrides: Any) -> MembershipCluster:
        for name in self.nodes:
            self.overrides[name] = overrides
            self.start(name)
        return self

    def run_for(self, ms: float) -> None:
        self.run_until(self.now + ms)

    def partition(self, *sides: list[str]) -> None:
        side_of = {name: index for index, side in enumerate(sides) for name in side}
        self.cut([(a, b) for a in side_of for b in side_of if side_of[a] != side_of[b]], "partition")

    def heal_partition(self) -> None:
        self.heal("partition")

    def running_nodes(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.is_running]

    def member(self, name: str) -> Membership:
        return cast(Membership, self.nodes[name].machine)

    def view(self, name: str) -> MembershipView:
        return self.member(name).view(self.nodes[name].monotonic_ms(self.now))

    def state(self, name: str, seen_by: str) -> MemberState | None:
        member = self.view(seen_by).members.get(name)
        return member.state if member else None

    def states(self, name: str) -> set[MemberState | None]:
        """Return the states of a member in the views of the other running members."""
        return {self.state(name, node.name) for node in self.running_nodes() if node.name != name}

    def modes(self) -> dict[str, PartitionMode]:
        return {node.name: self.view(node.name).mode for node in self.running_nodes()}

    def notices(self, event: str, **fields: object) -> list[ObservedNotice]:
        return [
            observed
            for observed in self.observed
            if observed.notice.name == event and fields.items() <= observed.notice.fields.items()
        ]

    def carry_out_all(self, name: str, actions: list[Action]) -> None:
        for action in actions:
            self.carry_out(self.nodes[name], action)

    def datagrams_from(self, sender: str) -> list[Envelope]:
        """Return the decoded datagrams that a member sent, in order."""
        codec = Codec("fleet", SECRET)
        return [envelope for envelope in map(codec.decode, self.sent) if envelope.sender == sender]

    def converged(self) -> bool:
        """Return whether all running members agree that all of them are alive, and all have a majority."""
        names = {node.name for node in self.running_nodes()}
        views = [self.view(name) for name in names]
        expected = {(name, MemberState.ALIVE, self.view(name).members[name].incarnation) for name in names}
        tables = [
            {(m.name, m.state, m.incarnation) for m in v.members.values() if m.name in names} for v in views
        ]
        return all(table == expected for table in tables) and all(view.has_majority for view in views)

    def converges_within(self, ms: float) -> bool:
        deadline_ms = self.now + ms
        while self.now < deadline_ms and not self.converged():
            self.run_for(POLL_MS)
        return self.converged()


def _alive_members(view: MembershipView, names: set[str]) -> dict[str, int]:
    return {
        member.name: member.incarnation
        for member in view.members.values()
        if member.name in names and member.state is MemberState.ALIVE
    }
