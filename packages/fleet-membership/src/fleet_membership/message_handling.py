"""Handling of received datagrams: rejected, or dispatched to the part of the member that they concern."""

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

from fleet_membership.anti_entropy import AntiEntropy
from fleet_membership.context import MemberContext
from fleet_membership.failure_verdicts import FailureVerdicts
from fleet_membership.probing import Prober
from fleet_membership.quorum import VoterQuorum

OWN_NAME_REASON = "own-name"
"""Why a datagram with this router's name as its sender is rejected: a documented word of the log."""

UserMessageHandler = Callable[[float, str, int, bytes], bytes | None]
"""Takes another state machine's messages: ``(now, sender, channel, body)``; returns the body of the reply on
the same channel, or None for no reply."""


class MessageHandler:
    """Decodes datagrams and dispatches their updates and messages."""

    def __init__(
        self,
        context: MemberContext,
        verdicts: FailureVerdicts,
        prober: Prober,
        quorum: VoterQuorum,
        anti_entropy: AntiEntropy,
        handle_user_message: UserMessageHandler | None,
    ) -> None:
        self._context = context
        self._verdicts = verdicts
        self._prober = prober
        self._quorum = quorum
        self._anti_entropy = anti_entropy
        self._handle_user_message = handle_user_message

    def handle_datagram(self, now: float, source: Address, data: bytes) -> None:
        """Handle a datagram, reporting one that is rejected."""
        context = self._context
        try:
            envelope = context.codec.decode(data)
        except DatagramRejectedError as error:
            self._notify_rejected(error.reason.value, source)
            if error.envelope is not None:
                self._answer_outdated(error.envelope, source)
            return
        if envelope.sender == context.name:  # an echo, or another process with this name
            self._notify_rejected(OWN_NAME_REASON, source)
            return
        self._apply_updates(now, envelope)
        member = context.table.get(envelope.sender)
        if member is None:  # it knows this router, and so maybe others that are unknown here
            self._anti_entropy.synchronize_with_stranger(now, source)
        else:
            member.last_heard_ms = now
            self._answer_outdated(envelope, source)
        self._dispatch(now, source, envelope)

    def _notify_rejected(self, reason: str, source: Address) -> None:
        host, port = source
        self._context.notify("refused", cause=reason, source=f"{host}:{port}")

    def _apply_updates(self, now: float, envelope: Envelope) -> None:
        table_sender = envelope.sender if isinstance(envelope.message, UpdateBatch) else ""
        for update in envelope.updates:
            self._verdicts.apply_claim(now, update, f"told-by-{envelope.sender}", table_sender)

    def _answer_outdated(self, envelope: Envelope, source: Address) -> None:
        """Inform a sender that its incarnation is outdated; it will take one above the newest."""
        context = self._context
        if envelope.sender == context.name:
            return
        member = context.table.get(envelope.sender)
        known = [context.codec.window.newest_incarnation(envelope.sender)]
        known.append(member.update.incarnation if member else None)
        newest = max((incarnation for incarnation in known if incarnation is not None), default=0)
        if envelope.incarnation < newest:
            context.send(source, Superseded(newest))

    def _dispatch(self, now: float, source: Address, envelope: Envelope) -> None:
        context = self._context
        sender = envelope.sender
        match envelope.message:
            case Probe(probe_id, target) if target == context.name:
                context.reply(sender, source, Ack(probe_id))
            case Ack(probe_id):
                self._handle_ack(sender, probe_id)
            case Nack(probe_id):
                self._prober.handle_nack(sender, probe_id)
            case IndirectProbe() as message:
                self._prober.relay_probe(now, sender, message)
            case Sync() as message:
                member = context.table.get(sender)
                peer = unpack_address(member.update.address) if member else source
                self._anti_entropy.handle_sync(now, peer, message)
            case Superseded(incarnation) if incarnation > context.table.local_update.incarnation:
                self._verdicts.supersede_incarnation(now, incarnation, "superseded")
            case UserMessage(channel, body) if self._handle_user_message is not None:
                reply = self._handle_user_message(now, sender, channel, body)
                if reply is not None:
                    context.reply(sender, source, UserMessage(channel, reply))

    def _handle_ack(self, sender: str, probe_id: int) -> None:
        self._quorum.handle_ack(sender, probe_id)
        answered = self._prober.handle_ack(sender, probe_id)
        if answered is not None:
            self._quorum.record_answer(answered.target, answered.sent_ms)
