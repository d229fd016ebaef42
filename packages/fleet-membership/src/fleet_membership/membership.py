"""A member of the fleet as one sans-I/O state machine.

It implements SWIM (Das, Gupta and Motivala, 2002) with Lifeguard (Dadgar, Phillips and Currey, 2017) and
anti-entropy.
"""

from __future__ import annotations

from enum import Enum

from gossip_codec import MemberState, UpdateBatch, UserMessage
from msgspec.structs import replace
from sansio_core import Action, DatagramReceived, Event, RandomSource, ShutdownRequested, Started, TimerFired

from fleet_membership.anti_entropy import AntiEntropy
from fleet_membership.context import MemberContext
from fleet_membership.failure_verdicts import FailureVerdicts
from fleet_membership.member_table import LIVE_STATES
from fleet_membership.message_handling import MessageHandler, MessageRecipients, UserMessageHandler
from fleet_membership.probing import Prober
from fleet_membership.quorum import VoterQuorum
from fleet_membership.settings import MembershipSettings
from fleet_membership.tasks import (
    DropTombstones,
    EndFlapHold,
    EndRejoin,
    ProbeNextMember,
    ProbeSuspect,
    ProbeTimeout,
    ProbeVoters,
    RelayedProbeTimeout,
    SuspicionTimeout,
    SynchronizeTables,
    Task,
)
from fleet_membership.view import MembershipView

# Maximum number of members besides the voters that are notified of a leave; they broadcast it to the others.
MAX_LEAVE_RECIPIENTS = 8

# Number of checks for expired tombstones within ``tombstone_ms``.
TOMBSTONE_CHECKS = 10


class Phase(Enum):
    """Whether a member is active in its fleet or has left it."""

    ACTIVE = "active"
    LEFT = "left"


class Membership:
    """One member; ``Started`` is its first event, and it ignores all events after ``ShutdownRequested``.

    Notices: ``member`` (name, state, incarnation, cause), ``link`` (name, link; hold_ms if it flaps),
    ``majority`` (has_majority), ``mode`` (mode), ``paused`` (late_ms, health) and ``refused`` (cause,
    source).
    """

    def __init__(
        self,
        settings: MembershipSettings,
        random: RandomSource,
        handle_user_message: UserMessageHandler | None = None,
    ) -> None:
        self._context = MemberContext(settings, random)
        self._verdicts = FailureVerdicts(self._context)
        self._prober = Prober(self._context, self._verdicts)
        self._quorum = VoterQuorum(self._context)
        self._anti_entropy = AntiEntropy(self._context)
        recipients = MessageRecipients(
            self._verdicts, self._prober, self._quorum, self._anti_entropy, handle_user_message
        )
        self._messages = MessageHandler(self._context, recipients)
        self._phase = Phase.ACTIVE
        self._view: MembershipView | None = None

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event and all tasks that are due; return the actions to carry out, in order."""
        if self._phase is Phase.LEFT:
            return []
        context = self._context
        context.actions = []
        self._detect_pause(now)
        match event:
            case Started():
                self._start(now)
            case DatagramReceived(source, data):
                self._messages.handle_datagram(now, source, data)
            case TimerFired(token):
                context.schedule.timer_fired(token)
            case ShutdownRequested():
                self._leave(now)
                return context.actions
        for task in context.schedule.pop_due(now):
            self._run_task(now, task)
        self._quorum.evaluate(now)
        return context.actions + context.schedule.request_timer(now)

    def send_user_message(self, name: str, channel: int, body: bytes) -> list[Action]:
        """Send another state machine's message to a member, once and without confirmation.

        Returns no actions if the member is unknown or this one has left.  Raises MessageTooLargeError.
        """
        context = self._context
        context.actions = []
        member = context.table.get(name)
        if member is not None and self._phase is Phase.ACTIVE:
            context.send_to_member(member, UserMessage(channel, body))
        return context.actions

    def view(self, now: float) -> MembershipView:
        """Return a snapshot of the fleet; the same object is returned until its contents change."""
        table = self._context.table
        local_health = self._context.local_health.score
        view = self._view
        if view is None or view.version != table.version or view.local_health != local_health:
            view = MembershipView(
                version=table.version,
                members={member.update.name: member.view(now) for member in table.members()},
                has_majority=self._quorum.has_majority,
                majority_since_ms=self._quorum.majority_since_ms,
                mode=self._quorum.mode,
                local_health=local_health,
            )
            self._view = view
        return view

    def _detect_pause(self, now: float) -> None:
        """Postpone all tasks and suspicions if timers are so late that this process must have been paused."""
        context = self._context
        late_ms = context.schedule.lateness_ms(now)
        if late_ms <= context.settings.pause_ms:
            return
        context.local_health.degrade()
        context.notify("paused", late_ms=round(late_ms, 3), health=context.local_health.score)
        context.schedule.postpone(late_ms)
        self._verdicts.postpone_suspicions(late_ms)
        self._prober.discard_probes()
        if late_ms > context.settings.probe_every_ms:
            self._quorum.restart(now)

    def _start(self, now: float) -> None:
        context = self._context
        context.broadcasts.enqueue(context.table.local_update)
        self._quorum.majority_since_ms = now
        self._quorum.restart(now)
        self._quorum.probe_voters(now)
        self._prober.probe_next(now)
        self._anti_entropy.start(now)
        self._schedule_tombstone_check(now)

    def _leave(self, now: float) -> None:
        """Announce the leave to the voters and to up to ``MAX_LEAVE_RECIPIENTS`` other members."""
        context = self._context
        update = replace(context.table.local_update, state=MemberState.LEFT)
        context.table.apply(now, update)
        live = context.table.others(*LIVE_STATES)
        voters = [member for member in live if member.update.name in context.settings.voters]
        others = [member for member in live if member not in voters]
        for member in voters + context.sample(others, MAX_LEAVE_RECIPIENTS):
            context.send_to_member(member, UpdateBatch(), (update,))
        context.notify(
            "member", name=context.name, state="left", incarnation=update.incarnation, cause="leaving"
        )
        self._phase = Phase.LEFT

    def _run_task(self, now: float, task: Task) -> None:
        match task:
            case ProbeNextMember():
                self._prober.probe_next(now)
            case ProbeTimeout(probe_id):
                self._prober.handle_timeout(now, probe_id)
            case RelayedProbeTimeout(probe_id):
                self._prober.handle_relayed_timeout(now, probe_id)
            case SuspicionTimeout(name):
                self._verdicts.handle_suspicion_timeout(now, name)
            case ProbeSuspect(name):
                self._verdicts.probe_suspect(name)
            case ProbeVoters() | SynchronizeTables() | DropTombstones() | EndFlapHold() | EndRejoin():
                self._run_periodic_task(now, task)

    def _run_periodic_task(
        self, now: float, task: ProbeVoters | SynchronizeTables | DropTombstones | EndFlapHold | EndRejoin
    ) -> None:
        match task:
            case ProbeVoters():
                self._quorum.probe_voters(now)
            case SynchronizeTables():
                self._anti_entropy.run_exchange(now, self._quorum.has_majority)
            case DropTombstones():
                self._context.table.drop_tombstones(now - self._context.settings.tombstone_ms)
                self._schedule_tombstone_check(now)
            case EndFlapHold():
                self._context.table.bump_version()
            case EndRejoin():
                pass  # the mode is evaluated after every event

    def _schedule_tombstone_check(self, now: float) -> None:
        interval_ms = self._context.settings.tombstone_ms / TOMBSTONE_CHECKS
        self._context.schedule.add(now + interval_ms, DropTombstones())
