"""Message handling: rejects received datagrams or dispatches them to the components of the member."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

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

# The logged cause of a rejected datagram whose sender has this router's name (documented in docs/ON-CALL.md).
OWN_NAME_REASON = "own-name"

# Handles the messages of another state machine: ``(now, sender, channel, body)``; returns the body of the
# reply on the same channel, or None for no reply.
UserMessageHandler = Callable[[float, str, int, bytes], bytes | None]


@dataclass(frozen=True, slots=True)
class MessageRecipients:
    """The components of a member that received messages are dispatched to.

    ``handle_user_message`` is None if no other state machine uses the fleet's datagrams.
    """

    verdicts: FailureVerdicts
    prober: Prober
    quorum: VoterQuorum
    anti_entropy: AntiEntropy
    handle_user_message: UserMessageHandler | None


class MessageHandler:
    """Decodes datagrams and dispatches their updates and messages."""

    def __init__(self, context: MemberContext, recipients: MessageRecipients) -> None:
        self._context = context
        self._verdicts = recipients.verdicts
        self._prober = recipients.prober
        self._quorum = recipients.quorum
        self._anti_entropy = recipients.anti_entropy
        self._handle_user_message = recipients.handle_user_message

    def handle_datagram(self, now: float, source: Address, data: bytes) -> None:
        """Handle a datagram; a rejected one is reported to the log."""
        context = self._context
        try:
            envelope = context.codec.decode(data)
        except DatagramRejectedError as error:
            self._notify_rejected(error.reason.value, source)
            if error.envelope is not None:
                self._answer_outdated(error.envelope, source)
            return
        if envelope.sender == context.name:  # sent by this router, or by another process with the same name
            self._notify_rejected(OWN_NAME_REASON, source)
            return
        self._apply_updates(now, envelope)
        member = context.table.get(envelope.sender)
        if member is None:  # the sender may know members that this router does not know
            self._anti_entropy.synchronize_with_unknown_sender(now, source)
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
        """Tell a sender with an outdated incarnation the newest one, so that it adopts a higher one."""
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
