"""What the parts of a member share: its settings, its table, and the way out."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

from gossip_codec import Codec, MemberState, Message, Update, pack_address, unpack_address
from sansio_core import Action, Address, Notice, RandomSource, SendDatagram

from fleet_membership.broadcast_queue import Rumours
from fleet_membership.local_health import LocalHealth
from fleet_membership.member_table import Member, Table
from fleet_membership.settings import MembershipSettings
from fleet_membership.task_schedule import Agenda

T = TypeVar("T")


class Core:
    """Actions gather in ``out`` until the event is done."""

    def __init__(self, settings: MembershipSettings, draw: RandomSource) -> None:
        self.settings = settings
        self.draw = draw
        self.codec = Codec(settings.fleet, settings.secret)
        own = Update(settings.name, pack_address(settings.address), settings.incarnation, MemberState.ALIVE)
        self.table = Table(own, settings.members_most)
        self.rumours = Rumours(settings.retransmit)
        self.health = LocalHealth()
        self.agenda = Agenda()
        self.out: list[Action] = []
        self._number = int(draw() * (1 << 32))  # of probes: not to be guessed from outside

    @property
    def name(self) -> str:
        return self.settings.name

    def number(self) -> int:
        self._number += 1
        return self._number

    def sample(self, items: Sequence[T], most: int) -> list[T]:
        """At most so many of the items, drawn without putting back."""
        left = list(items)
        return [left.pop(int(self.draw() * len(left))) for _ in range(min(most, len(left)))]

    def tell(self, event: str, /, **fields: str | int | float) -> None:
        self.out.append(Notice(event, fields))

    def send(self, to: Address, message: Message, first: Sequence[Update] = ()) -> int:
        """Send with rumours behind ``first``; gives how many of ``first`` found room."""
        own = self.table.own
        updates = [*first, *(update for update in self.rumours.pick() if update not in first)]
        datagram = self.codec.encode(own.name, own.incarnation, message, updates)
        self.rumours.sent(updates[: datagram.updates_packed], self.table.live())
        self.out.append(SendDatagram(to, datagram.data))
        return min(datagram.updates_packed, len(first))

    def send_member(self, member: Member, message: Message, first: tuple[Update, ...] = ()) -> None:
        """Send to a member; one that is thought suspect, or worse, hears so (Lifeguard's buddy system)."""
        if member.state is not MemberState.ALIVE:
            first = (*first, member.update)
        self.send(unpack_address(member.update.address), message, first)

    def answer(self, name: str, source: Address, message: Message) -> None:
        """Send to a sender: at its known address, else to where it wrote from."""
        member = self.table.get(name)
        if member is None:
            self.send(source, message)
        else:
            self.send_member(member, message)
