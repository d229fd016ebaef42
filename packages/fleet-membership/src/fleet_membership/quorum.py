"""How this router stands with the voters: majority and mode."""

from __future__ import annotations

from gossip_codec import MemberState, Probe

from fleet_membership.context import Core
from fleet_membership.view import Mode

DOUBT = 5.0  # periods within which a voter has to answer while this router is not well
CHECKS = 64  # that may still be answered


class Standing:
    """A voter counts while it is alive in this view and has answered a probe sent since this life, or the
    last pause of this process, began: what a process believed before it slept is no majority.

    While the local health is not 0 the voters are probed in each period, and count only if they answered
    lately: a router that is cut off finds many silent, doubts itself, and would suspect them only slowly.
    """

    def __init__(self, core: Core) -> None:
        self._core = core
        self.majority, self.since, self.mode = False, 0.0, Mode.REJOINING
        self._fresh = self._rejoin_until = float("-inf")
        self._well = 0.0  # when the local health was 0 for the last time
        self._answered: dict[str, float] = {}  # when the newest probe was sent that a voter answered
        self._checks: dict[int, tuple[str, float]] = {}

    def begin(self, now: float) -> None:
        """A life begins, or goes on after a pause."""
        self._fresh, self._rejoin_until = now, now + self._core.settings.rejoin_ms
        self._well = now
        self._answered.clear()
        self._checks.clear()
        self._core.agenda.at(self._rejoin_until, "stand")

    def check(self, now: float) -> None:
        """Probe the voters that have to answer; once in a period."""
        core = self._core
        core.agenda.at(now + core.settings.probe_every_ms, "check")
        if core.health.score == 0:
            self._well = now
        for name in core.settings.voters:
            member = core.table.get(name)
            if member is None or name == core.name or (self._well == now and name in self._answered):
                continue
            number = core.number()
            self._checks = dict(list(self._checks.items())[1 - CHECKS :])
            self._checks[number] = name, now
            core.send_member(member, Probe(number, name))

    def acked(self, sender: str, number: int) -> None:
        """A voter may have answered a check."""
        name, sent = self._checks.pop(number, ("", 0.0))
        if name == sender:
            self.seen(name, sent)

    def seen(self, name: str, sent: float) -> None:
        """A member answered a probe sent at ``sent``, itself or through others."""
        if name in self._core.settings.voters and sent >= self._fresh:
            self._answered[name] = max(sent, self._answered.get(name, sent))

    def stand(self, now: float) -> None:
        """Take the majority and the mode anew."""
        core, voters = self._core, self._core.settings.voters
        held = sum(self._counts(now, name) for name in voters) > len(voters) // 2
        if held is not self.majority:
            self.majority, self.since = held, now
            core.table.touch()
            core.tell("majority", held=int(held))
        mode = self._mode(now)
        if mode is not self.mode:
            self.mode = mode
            core.table.touch()
            core.tell("mode", mode=mode.value)

    def _counts(self, now: float, name: str) -> bool:
        if name == self._core.name:
            return True
        member = self._core.table.get(name)
        if member is None or member.shown(now) is not MemberState.ALIVE or name not in self._answered:
            return False
        lately = now - DOUBT * self._core.settings.probe_every_ms
        return max(self._answered[name], self._well) > lately

    def _mode(self, now: float) -> Mode:
        if self.majority:
            return Mode.WITH_MAJORITY
        if now < self._rejoin_until:
            return Mode.REJOINING
        return Mode.CUT_OFF if self._core.table.others(MemberState.ALIVE) else Mode.ALONE
