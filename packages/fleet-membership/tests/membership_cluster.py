"""Members in a simulated world, for tests."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from fleet_membership import Membership, MembershipSettings, MemberState, Mode, View
from fleet_membership.message_handling import Inbox
from fleet_sim import Node, Quality, World
from gossip_codec import Codec, Envelope
from sansio_core import Action, Address, Notice, RandomSource

SECRET = bytes(range(16))


class Bench(World):
    """``told`` has what the members told, with the world's time and their names; ``sent`` the datagrams.
    ``given`` has settings of one member that differ from the others'."""

    def __init__(self, count: int, voters: int = 3, seed: int = 1, loss: float = 0.0) -> None:
        names = [f"r{at}" for at in range(count)]
        self.voters = tuple(names[:voters])
        self.told: list[tuple[float, str, Notice]] = []
        self.sent: list[bytes] = []
        self.given: dict[str, dict[str, Any]] = {}
        self.inboxes: dict[str, Inbox] = {}
        describe = lambda data: self.sent.append(data) or ""  # type: ignore[func-returns-value] # noqa: E731
        super().__init__(seed, names, self.member, base=Quality(loss=loss), describe=describe)
        self.listeners.append(lambda node, told: self.told.append((self.now, node.name, told)))

    def begin(self, **given: Any) -> Bench:
        for name in self.nodes:
            self.given[name] = given
            self.start(name)
        return self

    def member(self, name: str, address: Address, life: int, draw: RandomSource, disk: object) -> Membership:
        seeds = tuple(self.nodes[voter].address for voter in self.voters)
        settings = MembershipSettings(name, address, "fleet", SECRET, seeds, self.voters, life)
        return Membership(replace(settings, **self.given.get(name, {})), draw, self.inboxes.get(name))

    def run(self, ms: float) -> None:
        self.run_until(self.now + ms)

    def split(self, *halves: list[str]) -> None:
        side = {name: at for at, half in enumerate(halves) for name in half}
        self.cut([(a, b) for a in side for b in side if side[a] != side[b]], "split")

    def running(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.running]

    def view(self, name: str) -> View:
        node = self.nodes[name]
        return node.machine.view(node.local(self.now))  # type: ignore[union-attr, no-any-return]

    def state(self, of: str, by: str) -> MemberState | None:
        member = self.view(by).members.get(of)
        return member.state if member else None

    def states(self, of: str) -> set[MemberState | None]:
        """As the others see a member."""
        return {self.state(of, node.name) for node in self.running() if node.name != of}

    def modes(self) -> dict[str, Mode]:
        return {node.name: self.view(node.name).mode for node in self.running()}

    def events(self, event: str, **fields: object) -> list[tuple[float, str, Notice]]:
        return [one for one in self.told if one[2].name == event and fields.items() <= one[2].fields.items()]

    def act(self, name: str, actions: list[Action]) -> None:
        for action in actions:
            self._act(self.nodes[name], action)

    def datagrams(self, sender: str) -> list[Envelope]:
        """What a member sent, in the order in which it did."""
        codec = Codec("fleet", SECRET)
        return [one for one in map(codec.decode, self.sent) if one.sender == sender]

    def agreed(self) -> bool:
        """Whether all that run see each other alive, with the same incarnations, and hold a majority."""
        names = {node.name for node in self.running()}
        views = [self.view(name) for name in names]
        tables = [{(n, m.state, m.incarnation) for n, m in v.members.items() if n in names} for v in views]
        alive = all(len(table) == len(names) and all(not one[1] for one in table) for table in tables)
        return alive and all(table == tables[0] for table in tables) and all(v.majority for v in views)

    def agreed_within(self, ms: float) -> bool:
        end = self.now + ms
        while self.now < end and not self.agreed():
            self.run(500.0)
        return self.agreed()
