"""Probes: direct, then through others, in a random order that leaves nobody out (SWIM, sections 3.1 and 4.3).

A probe lasts one period.  Those asked to probe for this router say ``Nack`` where the target is silent: a
missing ``Nack`` speaks against this router's own health, not against the target (Lifeguard, section IV.A).
"""

from __future__ import annotations

from dataclasses import dataclass, field

from gossip_codec import Ack, IndirectProbe, MemberState, Nack, Probe, unpack_address

from fleet_membership.context import Core
from fleet_membership.failure_verdicts import Judge
from fleet_membership.member_table import LIVE, Member
from fleet_membership.view import Link

NACK_AT = 0.8  # of the probe's time, after which one that probes for another says ``Nack``
MISSED = 2  # direct probes in a row after which a link is named


@dataclass(slots=True)
class Pending:
    number: int
    target: str
    sent: float
    answered: bool = False
    direct: bool = False  # by the target itself, before others were asked or after
    asked: set[str] = field(default_factory=set)
    nacks: set[str] = field(default_factory=set)


@dataclass(slots=True)
class Errand:
    """A probe made for another."""

    origin: str
    number: int
    nacked: bool = False


class Prober:
    def __init__(self, core: Core, judge: Judge) -> None:
        self._core, self._judge = core, judge
        self._order: list[str] = []
        self._pending: Pending | None = None
        self._errands: dict[int, Errand] = {}

    def tick(self, now: float) -> None:
        """End the period's probe and begin the next."""
        self._conclude(now)
        settings, stretch = self._core.settings, self._core.health.stretch
        self._core.agenda.at(now + settings.probe_every_ms * stretch, "tick")
        member = self._next()
        if member is None:
            return
        pending = self._pending = Pending(self._core.number(), member.update.name, now)
        self._core.send_member(member, Probe(pending.number, pending.target))
        self._core.agenda.at(now + settings.probe_timeout_ms * stretch, "direct", pending.number)

    def forget(self) -> None:
        """This process slept: answers may have been lost with it, so nothing follows from their absence."""
        self._pending = None
        self._errands.clear()

    def ask_others(self, now: float, number: int) -> None:
        """No answer in time: ask others, ask again, and go on so until the period ends."""
        pending, core = self._pending, self._core
        if pending is None or pending.number != number or pending.answered:
            return
        target = core.table.get(pending.target)
        if target is None:
            return
        others = [m for m in core.table.others(MemberState.ALIVE) if m is not target]
        for member in core.sample(others, core.settings.indirect):
            pending.asked.add(member.update.name)
            core.send_member(member, IndirectProbe(number, pending.target, target.update.address))
        core.send_member(target, Probe(number, pending.target))
        core.agenda.at(now + core.settings.probe_timeout_ms * core.health.stretch, "direct", number)

    def run_errand(self, now: float, origin: str, message: IndirectProbe) -> None:
        core = self._core
        number = core.number()
        self._errands[number] = Errand(origin, message.probe_id)
        target, probe = core.table.get(message.target), Probe(number, message.target)
        if target is not None and target.update.address == message.address:
            core.send_member(target, probe)
        else:
            core.send(unpack_address(message.address), probe)
        core.agenda.at(now + core.settings.probe_timeout_ms * NACK_AT, "errand", number)

    def errand_due(self, now: float, number: int) -> None:
        errand = self._errands.get(number)
        origin = self._core.table.get(errand.origin) if errand else None
        if errand is None or errand.nacked or origin is None:
            self._errands.pop(number, None)
            return
        errand.nacked = True
        self._core.send_member(origin, Nack(errand.number))
        self._core.agenda.at(now + self._core.settings.probe_every_ms, "errand", number)

    def acked(self, now: float, sender: str, number: int) -> tuple[str, float] | None:
        """Who turned out to be there, and when the probe that shows it was sent; None for what is no answer
        to this router's probes."""
        errand = self._errands.pop(number, None)
        if errand is not None:
            origin = self._core.table.get(errand.origin)
            if origin is not None:
                self._core.send_member(origin, Ack(errand.number))
            return None
        pending = self._pending
        if pending is None or pending.number != number or sender not in (pending.target, *pending.asked):
            return None
        if not pending.answered:
            self._core.health.better()
        pending.answered = True
        pending.direct = pending.direct or sender == pending.target
        return pending.target, pending.sent

    def nacked(self, sender: str, number: int) -> None:
        if self._pending is not None and self._pending.number == number and sender in self._pending.asked:
            self._pending.nacks.add(sender)

    def _conclude(self, now: float) -> None:
        pending, core = self._pending, self._core
        self._pending = None
        member = core.table.get(pending.target) if pending else None
        if pending is None or member is None or member.state not in LIVE:
            return
        self._name_link(member, pending)
        if not pending.answered:
            core.health.worse(len(pending.asked - pending.nacks) if pending.asked else 1)
            self._judge.suspect(now, member)

    def _name_link(self, member: Member, pending: Pending) -> None:
        core = self._core
        member.missed = 0 if pending.direct else member.missed + 1
        member.missing = float("inf") if pending.direct else min(member.missing, pending.sent)
        heard = member.heard > member.missing + core.settings.probe_timeout_ms * core.health.stretch
        link = member.link
        if pending.direct:
            link = Link.DIRECT
        elif member.missed >= MISSED and heard:
            link = Link.ONE_WAY
        elif member.missed >= MISSED and pending.answered:
            link = Link.INDIRECT
        if link is not member.link:
            member.link = link
            core.table.touch()
            core.tell("link", name=member.update.name, link=link.value)

    def _next(self) -> Member | None:
        """Round-robin over the live in a shuffled order, shuffled anew after each round."""
        for _ in range(2):
            while self._order:
                member = self._core.table.get(self._order.pop())
                if member is not None and member.state in LIVE:
                    return member
            names = [member.update.name for member in self._core.table.others(*LIVE)]
            self._order = self._core.sample(names, len(names))
        return None
