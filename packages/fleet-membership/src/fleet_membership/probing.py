"""Probing: direct, then indirect probes of all members in random order (SWIM, sections 3.1 and 4.3).

A probe lasts one interval.  A member asked for an indirect probe answers ``Nack`` if the target stays silent:
a missing ``Nack`` is evidence of bad health of this router, not of the target (Lifeguard, section IV.A).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from gossip_codec import Ack, IndirectProbe, MemberState, Nack, Probe, unpack_address

from fleet_membership.context import MemberContext
from fleet_membership.failure_verdicts import FailureVerdicts
from fleet_membership.member_table import LIVE_STATES, Member
from fleet_membership.tasks import ProbeNextMember, ProbeTimeout, RelayedProbeTimeout
from fleet_membership.view import LinkState

# Share of the probe timeout after which a relayed probe is answered by ``Nack``.
NACK_TIMEOUT_SHARE = 0.8

# Consecutive unanswered direct probes after which the link counts as indirect or one-way.
MIN_MISSED_PROBES = 2


class ProbeState(Enum):
    """Whether and how a probe sent by this router was answered."""

    WAITING = "waiting"
    ANSWERED_INDIRECTLY = "answered indirectly"
    ANSWERED_DIRECTLY = "answered directly"


@dataclass(slots=True)
class PendingProbe:
    """The probe of the current interval; ``helpers`` are the members asked for an indirect probe."""

    probe_id: int
    target: str
    sent_ms: float
    state: ProbeState = ProbeState.WAITING
    helpers: set[str] = field(default_factory=set)
    nacked_by: set[str] = field(default_factory=set)


@dataclass(slots=True)
class RelayedProbe:
    """A probe sent on behalf of ``origin``, whose own id for it is ``origin_probe_id``."""

    origin: str
    origin_probe_id: int
    nack_sent: bool = False


@dataclass(frozen=True, slots=True)
class AnsweredProbe:
    """A probe that its target answered, directly or through another member."""

    target: str
    sent_ms: float


class Prober:
    """Probes one member in each interval, and relays probes for other members."""

    def __init__(self, context: MemberContext, verdicts: FailureVerdicts) -> None:
        self._context = context
        self._verdicts = verdicts
        self._round_names: list[str] = []
        self._pending: PendingProbe | None = None
        self._relayed: dict[int, RelayedProbe] = {}

    def probe_next(self, now: float) -> None:
        """Evaluate the probe of the last interval and send the next one."""
        context = self._context
        self._conclude_probe(now)
        multiplier = context.local_health.multiplier
        context.schedule.add(now + context.settings.probe_every_ms * multiplier, ProbeNextMember())
        member = self._next_member()
        if member is None:
            return
        probe = PendingProbe(context.next_probe_id(), member.update.name, now)
        self._pending = probe
        context.send_to_member(member, Probe(probe.probe_id, probe.target))
        self._schedule_timeout(now, probe.probe_id)

    def discard_probes(self) -> None:
        """Discard all pending probes: this process was paused, so missing answers prove nothing."""
        self._pending = None
        self._relayed.clear()

    def handle_timeout(self, now: float, probe_id: int) -> None:
        """Probe an unresponsive target indirectly and again directly; repeat until the interval ends."""
        context = self._context
        probe = self._pending
        if probe is None or probe.probe_id != probe_id or probe.state is not ProbeState.WAITING:
            return
        target = context.table.get(probe.target)
        if target is None:
            return
        others = [member for member in context.table.others(MemberState.ALIVE) if member is not target]
        for helper in context.sample(others, context.settings.indirect):
            probe.helpers.add(helper.update.name)
            context.send_to_member(helper, IndirectProbe(probe_id, probe.target, target.update.address))
        context.send_to_member(target, Probe(probe_id, probe.target))
        self._schedule_timeout(now, probe_id)

    def relay_probe(self, now: float, origin: str, message: IndirectProbe) -> None:
        """Probe a target for another member."""
        context = self._context
        probe_id = context.next_probe_id()
        self._relayed[probe_id] = RelayedProbe(origin, message.probe_id)
        probe = Probe(probe_id, message.target)
        target = context.table.get(message.target)
        if target is not None and target.update.address == message.address:
            context.send_to_member(target, probe)
        else:
            context.send(unpack_address(message.address), probe)
        nack_ms = now + context.settings.probe_timeout_ms * NACK_TIMEOUT_SHARE
        context.schedule.add(nack_ms, RelayedProbeTimeout(probe_id))

    def handle_relayed_timeout(self, now: float, probe_id: int) -> None:
        """Send ``Nack`` for an unanswered relayed probe; discard the probe one interval later."""
        context = self._context
        relayed = self._relayed.get(probe_id)
        if relayed is None:
            return
        origin = context.table.get(relayed.origin)
        if relayed.nack_sent or origin is None:
            del self._relayed[probe_id]
            return
        relayed.nack_sent = True
        context.send_to_member(origin, Nack(relayed.origin_probe_id))
        context.schedule.add(now + context.settings.probe_every_ms, RelayedProbeTimeout(probe_id))

    def handle_ack(self, sender: str, probe_id: int) -> AnsweredProbe | None:
        """Handle an acknowledgement; return this router's probe that it answers, or None."""
        relayed = self._relayed.pop(probe_id, None)
        if relayed is not None:
            origin = self._context.table.get(relayed.origin)
            if origin is not None:
                self._context.send_to_member(origin, Ack(relayed.origin_probe_id))
            return None
        probe = self._pending
        if probe is None or probe.probe_id != probe_id:
            return None
        if sender != probe.target and sender not in probe.helpers:
            return None
        if probe.state is ProbeState.WAITING:
            self._context.local_health.improve()
        if sender == probe.target:
            probe.state = ProbeState.ANSWERED_DIRECTLY
        elif probe.state is ProbeState.WAITING:
            probe.state = ProbeState.ANSWERED_INDIRECTLY
        return AnsweredProbe(probe.target, probe.sent_ms)

    def handle_nack(self, sender: str, probe_id: int) -> None:
        """Record that a helper is reachable but has no answer from the target yet."""
        probe = self._pending
        if probe is not None and probe.probe_id == probe_id and sender in probe.helpers:
            probe.nacked_by.add(sender)

    def _schedule_timeout(self, now: float, probe_id: int) -> None:
        timeout_ms = self._context.settings.probe_timeout_ms * self._context.local_health.multiplier
        self._context.schedule.add(now + timeout_ms, ProbeTimeout(probe_id))

    def _conclude_probe(self, now: float) -> None:
        context = self._context
        probe = self._pending
        self._pending = None
        if probe is None:
            return
        member = context.table.get(probe.target)
        if member is None or not member.is_live:
            return
        self._update_link(member, probe)
        if probe.state is ProbeState.WAITING:
            silent_helpers = len(probe.helpers - probe.nacked_by)
            context.local_health.degrade(silent_helpers if probe.helpers else 1)
            self._verdicts.suspect(now, member)

    def _update_link(self, member: Member, probe: PendingProbe) -> None:
        if probe.state is ProbeState.ANSWERED_DIRECTLY:
            member.missed_probes = 0
            member.first_missed_ms = float("inf")
        else:
            member.missed_probes += 1
            member.first_missed_ms = min(member.first_missed_ms, probe.sent_ms)
        link = self._link_after(member, probe)
        if link is not member.link:
            member.link = link
            self._context.table.bump_version()
            self._context.notify("link", name=member.update.name, link=link.value)

    def _link_after(self, member: Member, probe: PendingProbe) -> LinkState:
        if probe.state is ProbeState.ANSWERED_DIRECTLY:
            return LinkState.DIRECT
        if member.missed_probes < MIN_MISSED_PROBES:
            return member.link
        timeout_ms = self._context.settings.probe_timeout_ms * self._context.local_health.multiplier
        if member.last_heard_ms > member.first_missed_ms + timeout_ms:
            return LinkState.ONE_WAY
        if probe.state is ProbeState.ANSWERED_INDIRECTLY:
            return LinkState.INDIRECT
        return member.link

    def _next_member(self) -> Member | None:
        """Return the next live member, round-robin in a new random order per round; None if there is none."""
        for _ in range(2):
            while self._round_names:
                member = self._context.table.get(self._round_names.pop())
                if member is not None and member.is_live:
                    return member
            names = [member.update.name for member in self._context.table.others(*LIVE_STATES)]
            self._round_names = self._context.sample(names, len(names))
        return None
