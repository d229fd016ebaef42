"""How this router stands with the voters: majority and mode."""

from __future__ import annotations

from fleet_wire import MemberState, Probe

from fleet_membership.core import Core
from fleet_membership.view import Mode


class Standing:
    """A voter counts while it is alive in this view and has answered a probe sent since this life, or the
    last pause of this process, began: what a process believed before it slept is no majority."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self.majority, self.since, self.mode = False, 0.0, Mode.REJOINING
        self._fresh = self._rejoin_until = float("-inf")
        self._answered: set[str] = set()
        self._checks: dict[int, str] = {}

    def begin(self, now: float) -> None:
        """A life begins, or goes on after a pause."""
        self._fresh, self._rejoin_until = now, now + self._core.settings.rejoin_ms
        self._answered.clear()
        self._checks.clear()
        self._core.agenda.at(self._rejoin_until, "standing")
        self.check()

    def check(self) -> None:
        """Probe the voters that have not answered yet."""
        for name in self._core.settings.voters:
            member = self._core.table.get(name)
            if member is None or name == self._core.name or name in self._answered:
                continue
            number = self._core.number()
            self._checks = dict(list(self._checks.items())[-64:])
            self._checks[number] = name
            self._core.send_member(member, Probe(number, name))

    def acked(self, sender: str, number: int) -> None:
        """A voter answered a check."""
        if self._checks.get(number) == sender:
            self._answered.add(self._checks.pop(number))

    def seen(self, name: str, sent: float) -> None:
        """A member answered a probe sent at ``sent``, itself or through others."""
        if name in self._core.settings.voters and sent >= self._fresh:
            self._answered.add(name)

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
        alive = member is not None and member.shown(now) is MemberState.ALIVE
        return alive and name in self._answered

    def _mode(self, now: float) -> Mode:
        if self.majority:
            return Mode.WITH_MAJORITY
        if now < self._rejoin_until:
            return Mode.REJOINING
        return Mode.CUT_OFF if self._core.table.others(MemberState.ALIVE) else Mode.ALONE
