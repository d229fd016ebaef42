"""What a claim on a member leads to: suspicion, refutation, failure, and the naming of links that flap."""

from __future__ import annotations

from math import log10

from gossip_codec import MemberState, Probe, Update
from msgspec.structs import replace

from fleet_membership.context import Core
from fleet_membership.member_table import LIVE, Member
from fleet_membership.suspicion import Suspicion

HEARD = 5.0  # periods within which one that wrote itself was heard lately


class Judge:
    def __init__(self, core: Core) -> None:
        self._core = core
        self._suspicions: dict[str, Suspicion] = {}

    def learn(self, now: float, update: Update, why: str, table_of: str = "") -> None:
        """Take a claim, by whomever; what changes the table is passed on.

        ``table_of`` is the sender where the claim is part of its table.  Members first heard of so are not
        passed on: the rest of the fleet knows them, or will by exchanges of its own.  One that failed there
        is told so, if it was heard here lately, and otherwise a suspect here: when two halves meet after a
        cut, neither shall take the other's dead for dead.
        """
        core = self._core
        if update.name == core.name:
            self._of_self(now, update)
            return
        before = core.table.get(update.name)
        if table_of and update.state is MemberState.FAILED and before is not None and before.state in LIVE:
            if before.heard > now - HEARD * core.settings.probe_every_ms:
                core.send_member(before, Probe(core.number(), update.name), (update,))
                return
            update = replace(update, state=MemberState.SUSPECT, accuser=table_of)
        was_alive = before is not None and before.state is MemberState.ALIVE
        member = core.table.take(now, update)
        if member is None:
            self._confirm(now, update)
            return
        if before is not None or not table_of:
            core.rumours.put(update)
        state = update.state.name.lower()
        core.tell("member", name=update.name, state=state, incarnation=update.incarnation, why=why)
        self._suspicions.pop(update.name, None)
        if update.state is MemberState.SUSPECT:
            self._open(now, update)
            if was_alive:
                self._flapped(now, member)

    def suspect(self, now: float, member: Member) -> None:
        """This router has no answer from a member: suspect it, or confirm that others are right to."""
        update = replace(member.update, state=MemberState.SUSPECT, accuser=self._core.name)
        self.learn(now, update, "no-answer")

    def due(self, now: float, name: str) -> None:
        """A suspicion may have run out; confirmations and the local health move its end."""
        suspicion, member = self._suspicions.get(name), self._core.table.get(name)
        if suspicion is None or member is None:
            return
        deadline = suspicion.deadline(self._core.health.stretch)
        if now < deadline:
            self._core.agenda.at(deadline, "suspicion", name)
        else:
            self.learn(now, replace(member.update, state=MemberState.FAILED, accuser=""), "suspicion-ran-out")

    def paused(self, late: float) -> None:
        """The time this process slept counts against nobody."""
        for suspicion in self._suspicions.values():
            suspicion.started += late

    def take_over(self, now: float, incarnation: int, why: str) -> None:
        """Be alive again above ``incarnation``."""
        core = self._core
        own = replace(core.table.own, incarnation=incarnation + 1, state=MemberState.ALIVE, accuser="")
        core.table.take(now, own)
        core.rumours.put(own)
        core.tell("member", name=core.name, state="alive", incarnation=own.incarnation, why=why)

    def _of_self(self, now: float, update: Update) -> None:
        own = self._core.table.own
        if (update.incarnation, update.state) <= (own.incarnation, own.state):
            if update.state is not MemberState.ALIVE:
                self._core.rumours.put(own)  # refuted before, but not heard by everybody
            return
        if update.state in (MemberState.SUSPECT, MemberState.FAILED):
            self._core.health.worse()
        self.take_over(now, update.incarnation, f"refutes-{update.state.name.lower()}")

    def _open(self, now: float, update: Update) -> None:
        core, settings = self._core, self._core.settings
        live = core.table.live()
        scale = max(1.0, log10(live))
        least, most = settings.suspicion_least_ms * scale, settings.suspicion_most_ms * scale
        suspicion = Suspicion(now, least, most, max(0, live - 2), update.accuser)
        self._suspicions[update.name] = suspicion
        core.agenda.at(suspicion.deadline(core.health.stretch), "suspicion", update.name)
        core.agenda.at(now + least / 2, "warn", update.name)

    def warn(self, name: str) -> None:
        """Ask a suspect once more, whoever raised the suspicion: its answer brings its refutation, which may
        have been lost on its way here."""
        member = self._core.table.get(name)
        if member is not None and name in self._suspicions:
            self._core.send_member(member, Probe(self._core.number(), name))

    def _confirm(self, now: float, update: Update) -> None:
        member, suspicion = self._core.table.get(update.name), self._suspicions.get(update.name)
        if member is None or suspicion is None or update.state is not MemberState.SUSPECT:
            return
        if update.incarnation == member.update.incarnation and suspicion.confirm(update.accuser):
            self._core.rumours.put(update)
            self.due(now, update.name)

    def _flapped(self, now: float, member: Member) -> None:
        settings = self._core.settings
        member.flaps.append(now)
        recent = sum(at > now - settings.flap_window_ms for at in member.flaps)
        if recent > settings.flaps_most:
            hold = settings.flap_hold_ms * 2 ** (recent - settings.flaps_most - 1)
            hold = min(hold, settings.flap_hold_most_ms)
            member.held = now + hold
            self._core.agenda.at(member.held, "held")
            self._core.tell("link", name=member.update.name, link="flapping", hold_ms=hold)
