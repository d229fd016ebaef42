"""Quorum: whether a majority of the voters is reachable, and the resulting partition mode."""

from __future__ import annotations

from dataclasses import dataclass

from gossip_codec import MemberState, Probe

from fleet_membership.context import MemberContext
from fleet_membership.tasks import EndRejoin, ProbeVoters
from fleet_membership.view import PartitionMode

# While this router's health is bad, a voter must have answered within this many probe intervals.
RECENT_PROBE_INTERVALS = 5.0

# Maximum number of unanswered probes of voters that are kept; the oldest is dropped first.
MAX_PENDING_PROBES = 64

# The time of an event that has not happened.
NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class _VoterProbe:
    """A probe of a voter that has not been answered yet."""

    target: str
    sent_ms: float


class VoterQuorum:
    """Determines whether a majority of the voters is reachable, and the partition mode.

    A voter counts as reachable while it is alive in this router's table and has answered a probe sent since
    this process started or last resumed after a pause: answers from before a pause do not count.

    While the local health is bad the voters are probed in each interval, and count only if they answered
    recently: a partitioned router misses many answers, so its health is bad and its suspicions expire late.
    """

    def __init__(self, context: MemberContext) -> None:
        self._context = context
        self.has_majority = False
        self.majority_since_ms = 0.0
        self.mode = PartitionMode.REJOINING
        self._valid_since_ms = NEVER
        self._rejoin_until_ms = NEVER
        self._last_healthy_ms = 0.0
        self._answered_ms: dict[str, float] = {}  # by voter: send time of its newest answered probe
        self._pending: dict[int, _VoterProbe] = {}

    def restart(self, now: float) -> None:
        """Discard all answers after a start of the process or a pause, and begin to rejoin."""
        self._valid_since_ms = now
        self._rejoin_until_ms = now + self._context.settings.rejoin_ms
        self._last_healthy_ms = now
        self._answered_ms.clear()
        self._pending.clear()
        self._context.schedule.add(self._rejoin_until_ms, EndRejoin())

    def probe_voters(self, now: float) -> None:
        """Probe the voters without a valid answer, or all voters while the local health is bad."""
        context = self._context
        context.schedule.add(now + context.settings.probe_every_ms, ProbeVoters())
        healthy = context.local_health.score == 0
        if healthy:
            self._last_healthy_ms = now
        for name in context.settings.voters:
            member = context.table.get(name)
            needs_no_probe = self._last_healthy_ms == now and name in self._answered_ms
            if member is None or name == context.name or needs_no_probe:
                continue
            probe_id = context.next_probe_id()
            if len(self._pending) >= MAX_PENDING_PROBES:
                del self._pending[next(iter(self._pending))]
            self._pending[probe_id] = _VoterProbe(name, now)
            context.send_to_member(member, Probe(probe_id, name))

    def handle_ack(self, sender: str, probe_id: int) -> None:
        """Handle an acknowledgement, which may belong to a probe of a voter."""
        probe = self._pending.pop(probe_id, None)
        if probe is not None and probe.target == sender:
            self.record_answer(probe.target, probe.sent_ms)

    def record_answer(self, name: str, sent_ms: float) -> None:
        """Record that a member answered a probe sent at ``sent_ms``, directly or through another member."""
        if name in self._context.settings.voters and sent_ms >= self._valid_since_ms:
            self._answered_ms[name] = max(sent_ms, self._answered_ms.get(name, sent_ms))

    def evaluate(self, now: float) -> None:
        """Update ``has_majority`` and ``mode``, and report changes to the log."""
        context = self._context
        voters = context.settings.voters
        reachable_count = sum(1 for name in voters if self._is_reachable(now, name))
        has_majority = reachable_count > len(voters) // 2
        if has_majority != self.has_majority:
            self.has_majority = has_majority
            self.majority_since_ms = now
            context.table.bump_version()
            context.notify("majority", has_majority=int(has_majority))
        mode = self._mode(now)
        if mode is not self.mode:
            self.mode = mode
            context.table.bump_version()
            context.notify("mode", mode=mode.value)

    def _is_reachable(self, now: float, name: str) -> bool:
        if name == self._context.name:
            return True
        member = self._context.table.get(name)
        if member is None or member.visible_state(now) is not MemberState.ALIVE:
            return False
        if name not in self._answered_ms:
            return False
        recent_ms = now - RECENT_PROBE_INTERVALS * self._context.settings.probe_every_ms
        return max(self._answered_ms[name], self._last_healthy_ms) > recent_ms

    def _mode(self, now: float) -> PartitionMode:
        if self.has_majority:
            return PartitionMode.WITH_MAJORITY
        if now < self._rejoin_until_ms:
            return PartitionMode.REJOINING
        if self._context.table.others(MemberState.ALIVE):
            return PartitionMode.MINORITY
        return PartitionMode.ISOLATED
