"""Failure verdicts: suspicion, refutation and failure of members, and detection of flapping members."""

from __future__ import annotations

from math import log10

from gossip_codec import MemberState, Probe, Update
from msgspec.structs import replace

from fleet_membership.context import MemberContext
from fleet_membership.member_table import Member
from fleet_membership.suspicion import Suspicion
from fleet_membership.tasks import EndFlapHold, ProbeSuspect, SuspicionTimeout
from fleet_membership.view import LinkState

# A member counts as heard recently if it sent a datagram within this many probe intervals.
RECENT_PROBE_INTERVALS = 5.0


class FailureVerdicts:
    """Applies claims to the member table, and starts and ends suspicions."""

    def __init__(self, context: MemberContext) -> None:
        self._context = context
        self._suspicions: dict[str, Suspicion] = {}

    def apply_claim(self, now: float, update: Update, reason: str, table_sender: str = "") -> None:
        """Apply a claim and broadcast it if it changed the table.

        ``table_sender`` is the sender if the claim is part of its table, and empty otherwise.  Claims of such
        a table about unknown members are not broadcast: the other members know them, or learn of them by
        anti-entropy.  A live member that failed in that table is asked to refute if it was heard recently,
        and only suspected otherwise, so that sides of a healed partition do not adopt each other's verdicts.
        """
        context = self._context
        if update.name == context.name:
            self._handle_claim_about_self(now, update)
            return
        known = context.table.get(update.name)
        if table_sender and update.state is MemberState.FAILED and known is not None and known.is_live:
            if self._heard_recently(now, known):
                context.send_to_member(known, Probe(context.next_probe_id(), update.name), (update,))
                return
            update = replace(update, state=MemberState.SUSPECT, accuser=table_sender)
        was_alive = known is not None and known.state is MemberState.ALIVE
        if not context.table.apply(now, update):
            self._confirm_suspicion(now, update)
            return
        if known is not None or not table_sender:
            context.broadcasts.enqueue(update)
        self._notify_state(update, reason)
        self._suspicions.pop(update.name, None)
        if update.state is MemberState.SUSPECT:
            self._open_suspicion(now, update)
            if known is not None and was_alive:
                self._record_flap(now, known)

    def suspect(self, now: float, member: Member) -> None:
        """Suspect a member that did not answer this router's probe, or confirm an existing suspicion."""
        update = replace(member.update, state=MemberState.SUSPECT, accuser=self._context.name)
        self.apply_claim(now, update, "no-answer")

    def handle_suspicion_timeout(self, now: float, name: str) -> None:
        """Declare a suspect failed, or reschedule if the local health has extended its deadline."""
        suspicion = self._suspicions.get(name)
        member = self._context.table.get(name)
        if suspicion is None or member is None:
            return
        deadline_ms = suspicion.deadline_ms(self._context.local_health.multiplier)
        if now < deadline_ms:
            self._context.schedule.add(deadline_ms, SuspicionTimeout(name))
        else:
            failed = replace(member.update, state=MemberState.FAILED, accuser="")
            self.apply_claim(now, failed, "suspicion-ran-out")

    def probe_suspect(self, name: str) -> None:
        """Probe a suspect once more, since its refutation may have been lost."""
        member = self._context.table.get(name)
        if member is not None and name in self._suspicions:
            self._context.send_to_member(member, Probe(self._context.next_probe_id(), name))

    def postpone_suspicions(self, by_ms: float) -> None:
        """Extend all suspicions by a pause of this process, in ms."""
        for suspicion in self._suspicions.values():
            suspicion.started_ms += by_ms

    def supersede_incarnation(self, now: float, incarnation: int, reason: str) -> None:
        """Announce this router as alive with an incarnation above ``incarnation``."""
        context = self._context
        update = replace(
            context.table.local_update, incarnation=incarnation + 1, state=MemberState.ALIVE, accuser=""
        )
        context.table.apply(now, update)
        context.broadcasts.enqueue(update)
        self._notify_state(update, reason)

    def _handle_claim_about_self(self, now: float, update: Update) -> None:
        context = self._context
        local_update = context.table.local_update
        if (update.incarnation, update.state) <= (local_update.incarnation, local_update.state):
            if update.state is not MemberState.ALIVE:  # not every member has received the refutation
                context.broadcasts.enqueue(local_update)
            return
        if update.state in (MemberState.SUSPECT, MemberState.FAILED):
            context.local_health.degrade()
        self.supersede_incarnation(now, update.incarnation, f"refutes-{update.state.name.lower()}")

    def _heard_recently(self, now: float, member: Member) -> bool:
        recent_ms = RECENT_PROBE_INTERVALS * self._context.settings.probe_every_ms
        return member.last_heard_ms > now - recent_ms

    def _open_suspicion(self, now: float, update: Update) -> None:
        context = self._context
        live_count = context.table.live_count
        scale = max(1.0, log10(live_count))
        min_ms = context.settings.suspicion_least_ms * scale
        max_ms = context.settings.suspicion_most_ms * scale
        possible_confirmers = max(0, live_count - 2)  # all but the suspect and the accuser
        suspicion = Suspicion(now, min_ms, max_ms, possible_confirmers, update.accuser)
        self._suspicions[update.name] = suspicion
        deadline_ms = suspicion.deadline_ms(context.local_health.multiplier)
        context.schedule.add(deadline_ms, SuspicionTimeout(update.name))
        context.schedule.add(now + min_ms / 2, ProbeSuspect(update.name))

    def _confirm_suspicion(self, now: float, update: Update) -> None:
        member = self._context.table.get(update.name)
        suspicion = self._suspicions.get(update.name)
        if member is None or suspicion is None or update.state is not MemberState.SUSPECT:
            return
        if update.incarnation == member.update.incarnation and suspicion.confirm(update.accuser):
            self._context.broadcasts.enqueue(update)
            self.handle_suspicion_timeout(now, update.name)

    def _record_flap(self, now: float, member: Member) -> None:
        settings = self._context.settings
        member.suspected_at_ms.append(now)
        window_start_ms = now - settings.flap_window_ms
        recent_count = sum(1 for at_ms in member.suspected_at_ms if at_ms > window_start_ms)
        excess = recent_count - settings.flaps_most
        if excess <= 0:
            return
        hold_ms = min(settings.flap_hold_ms * 2 ** (excess - 1), settings.flap_hold_most_ms)
        member.flap_hold_until_ms = now + hold_ms
        self._context.schedule.add(member.flap_hold_until_ms, EndFlapHold())
        self._context.notify("link", name=member.update.name, link=LinkState.FLAPPING.value, hold_ms=hold_ms)

    def _notify_state(self, update: Update, reason: str) -> None:
        self._context.notify(
            "member",
            name=update.name,
            state=update.state.name.lower(),
            incarnation=update.incarnation,
            cause=reason,
        )
