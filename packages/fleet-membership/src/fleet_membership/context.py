"""The context shared by the components of a member: settings, tables, schedule and datagram sending."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

from gossip_codec import Codec, MemberState, Message, Update, pack_address, unpack_address
from sansio_core import Action, Address, Notice, RandomSource, SendDatagram

from fleet_membership.broadcast_queue import BroadcastQueue
from fleet_membership.local_health import LocalHealth
from fleet_membership.member_table import Member, MemberTable
from fleet_membership.settings import MembershipSettings
from fleet_membership.task_schedule import TaskSchedule

# The first probe id is drawn at random below this bound, so that outsiders cannot guess ids.
PROBE_ID_RANGE = 1 << 32

T = TypeVar("T")


class MemberContext:
    """The shared state of one member; ``actions`` collects the actions of the event being handled."""

    def __init__(self, settings: MembershipSettings, random: RandomSource) -> None:
        self.settings = settings
        self.random = random
        self.codec = Codec(settings.fleet, settings.secret)
        local_update = Update(
            settings.name, pack_address(settings.address), settings.incarnation, MemberState.ALIVE
        )
        self.table = MemberTable(local_update, settings.members_most)
        self.broadcasts = BroadcastQueue(settings.retransmit)
        self.local_health = LocalHealth()
        self.schedule = TaskSchedule()
        self.actions: list[Action] = []
        self._probe_id = int(random() * PROBE_ID_RANGE)

    @property
    def name(self) -> str:
        """The name of this member."""
        return self.settings.name

    def next_probe_id(self) -> int:
        """Return an unused probe id."""
        self._probe_id += 1
        return self._probe_id

    def sample(self, items: Sequence[T], max_items: int) -> list[T]:
        """Return up to ``max_items`` of the items, drawn without replacement."""
        remaining = list(items)
        count = min(max_items, len(remaining))
        return [remaining.pop(int(self.random() * len(remaining))) for _ in range(count)]

    def notify(self, event: str, /, **fields: str | int | float) -> None:
        """Add a ``Notice`` for the log."""
        self.actions.append(Notice(event, fields))

    def send(self, address: Address, message: Message, updates: Sequence[Update] = ()) -> int:
        """Send a message with ``updates``, and with as many queued broadcasts as still fit.

        Returns how many of ``updates`` fitted into the datagram.
        """
        local_update = self.table.local_update
        broadcasts = [update for update in self.broadcasts.next_batch() if update not in updates]
        offered = [*updates, *broadcasts]
        datagram = self.codec.encode(local_update.name, local_update.incarnation, message, offered)
        self.broadcasts.mark_sent(offered[: datagram.updates_packed], self.table.live_count)
        self.actions.append(SendDatagram(address, datagram.data))
        return min(datagram.updates_packed, len(updates))

    def send_to_member(self, member: Member, message: Message, updates: tuple[Update, ...] = ()) -> None:
        """Send to a member, with the claim about it if it is not alive here (Lifeguard's buddy system)."""
        if member.state is not MemberState.ALIVE:
            updates = (*updates, member.update)
        self.send(unpack_address(member.update.address), message, updates)

    def reply(self, name: str, source: Address, message: Message) -> None:
        """Send to member ``name`` at its known address, or to ``source`` if it is not in the table."""
        member = self.table.get(name)
        if member is None:
            self.send(source, message)
        else:
            self.send_to_member(member, message)
