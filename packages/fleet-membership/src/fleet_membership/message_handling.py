"""Datagrams: refused, or taken and answered."""

from __future__ import annotations

from collections.abc import Callable

from gossip_codec import (
    Ack,
    DatagramRejectedError,
    Envelope,
    IndirectProbe,
    Nack,
    Probe,
    Superseded,
    Sync,
    UpdateBatch,
    UserMessage,
    unpack_address,
)
from sansio_core import Address

from fleet_membership.anti_entropy import Syncer
from fleet_membership.context import Core
from fleet_membership.failure_verdicts import Judge
from fleet_membership.probing import Prober
from fleet_membership.quorum import Standing

Inbox = Callable[[float, str, int, bytes], bytes | None]
"""Another machine's bodies: ``(now, sender, channel, body)`` -> what to answer on the same channel."""


class Intake:
    def __init__(
        self,
        core: Core,
        judge: Judge,
        prober: Prober,
        standing: Standing,
        syncer: Syncer,
        inbox: Inbox | None,
    ) -> None:
        self._core, self._judge, self._prober = core, judge, prober
        self._standing, self._syncer, self._inbox = standing, syncer, inbox

    def heard(self, now: float, source: Address, data: bytes) -> None:
        core = self._core
        try:
            envelope = core.codec.decode(data)
        except DatagramRejectedError as refused:
            core.tell("refused", why=refused.reason.value, source=f"{source[0]}:{source[1]}")
            if refused.envelope is not None:
                self._supersede(refused.envelope, source)
            return
        if envelope.sender == core.name:  # an echo, or another process under this name
            core.tell("refused", why="own-name", source=f"{source[0]}:{source[1]}")
            return
        table_of = envelope.sender if isinstance(envelope.message, UpdateBatch) else ""
        for update in envelope.updates:
            self._judge.learn(now, update, f"told-by-{envelope.sender}", table_of)
        member = core.table.get(envelope.sender)
        if member is None:  # it knows of this router, and so of others perhaps unknown here
            self._syncer.meet(now, source)
        else:
            member.heard = now
            self._supersede(envelope, source)
        self._take(now, source, envelope)

    def _supersede(self, envelope: Envelope, source: Address) -> None:
        """One that came back under an old incarnation is told so, and will come back above the newest."""
        core = self._core
        member = core.table.get(envelope.sender)
        seen = core.codec.window.newest_incarnation(envelope.sender)
        known = max(-1 if seen is None else seen, member.update.incarnation if member else -1)
        if envelope.incarnation < known and envelope.sender != core.name:
            core.send(source, Superseded(known))

    def _take(self, now: float, source: Address, envelope: Envelope) -> None:
        core, sender = self._core, envelope.sender
        match envelope.message:
            case Probe(number, target) if target == core.name:
                core.answer(sender, source, Ack(number))
            case Ack(number):
                self._standing.acked(sender, number)
                seen = self._prober.acked(now, sender, number)
                if seen is not None:
                    self._standing.seen(*seen)
            case Nack(number):
                self._prober.nacked(sender, number)
            case IndirectProbe() as message:
                self._prober.run_errand(now, sender, message)
            case Sync() as message:
                member = core.table.get(sender)
                self._syncer.asked(now, unpack_address(member.update.address) if member else source, message)
            case Superseded(incarnation) if incarnation > core.table.own.incarnation:
                self._judge.take_over(now, incarnation, "superseded")
            case UserMessage(channel, body) if self._inbox is not None:
                answer = self._inbox(now, sender, channel, body)
                if answer is not None:
                    core.answer(sender, source, UserMessage(channel, answer))
