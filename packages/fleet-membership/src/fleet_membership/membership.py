"""A member of the fleet as one machine: events to its parts, their actions out.

SWIM (Das, Gupta and Motivala, 2002) with Lifeguard (Dadgar, Phillips and Currey, 2017) and anti-entropy.
"""

from __future__ import annotations

from collections.abc import Callable

from gossip_codec import MemberState, UpdateBatch, UserMessage
from msgspec.structs import replace
from sansio_core import Action, DatagramReceived, Event, RandomSource, ShutdownRequested, Started, TimerFired

from fleet_membership.anti_entropy import Syncer
from fleet_membership.context import Core
from fleet_membership.failure_verdicts import Judge
from fleet_membership.member_table import LIVE
from fleet_membership.message_handling import Inbox, Intake
from fleet_membership.probing import Prober
from fleet_membership.quorum import Standing
from fleet_membership.settings import MembershipSettings
from fleet_membership.task_schedule import Task
from fleet_membership.view import View

FAREWELLS = 8  # members, besides the voters, that are told of a leave
SWEEPS = 10  # looks for old tombstones within the time they are kept


class Membership:
    """``Started`` comes first, ``ShutdownRequested`` last; what comes after it is passed over.

    Tells: ``member`` (name, state, incarnation, why), ``link`` (name, link), ``majority`` (held), ``mode``
    (mode), ``paused`` (late_ms, health) and ``refused`` (why, source).
    """

    def __init__(self, settings: MembershipSettings, draw: RandomSource, inbox: Inbox | None = None) -> None:
        self._core = core = Core(settings, draw)
        self._judge = Judge(core)
        self._prober = Prober(core, self._judge)
        self._standing = Standing(core)
        self._syncer = Syncer(core)
        self._intake = Intake(core, self._judge, self._prober, self._standing, self._syncer, inbox)
        self._left = False
        self._view: View | None = None

    def handle(self, now: float, event: Event) -> list[Action]:
        if self._left:
            return []
        core = self._core
        core.out = []
        self._look_for_pause(now)
        match event:
            case Started():
                self._start(now)
            case DatagramReceived(source, data):
                self._intake.heard(now, source, data)
            case TimerFired(token):
                core.agenda.fired(token)
            case ShutdownRequested():
                self._leave(now)
                return core.out
        for task in core.agenda.due(now):
            self._do(now, task)
        self._standing.stand(now)
        return core.out + core.agenda.wake(now)

    def carry(self, name: str, channel: int, body: bytes) -> list[Action]:
        """Send a body of another machine to a member, once and without any promise; nothing where the member
        is not known.  Raises ValueError where it is too large."""
        core, member = self._core, self._core.table.get(name)
        core.out = []
        if member is not None and not self._left:
            core.send_member(member, UserMessage(channel, body))
        return core.out

    def view(self, now: float) -> View:
        """The fleet as it stands: a value that does not change any more."""
        table, standing, health = self._core.table, self._standing, self._core.health.score
        known = self._view
        if known is None or (known.version, known.health) != (table.version, health):
            members = {member.update.name: member.view(now) for member in table.members()}
            state = standing.majority, standing.since, standing.mode
            self._view = known = View(table.version, members, *state, health)
        return known

    def _look_for_pause(self, now: float) -> None:
        """A timer that is late by far says that this process, not the others, was away."""
        core = self._core
        late = core.agenda.lateness(now)
        if late <= core.settings.pause_ms:
            return
        core.health.worse()
        core.tell("paused", late_ms=round(late, 3), health=core.health.score)
        core.agenda.shift(late)
        self._judge.paused(late)
        self._prober.forget()
        if late > core.settings.probe_every_ms:
            self._standing.begin(now)

    def _start(self, now: float) -> None:
        core = self._core
        core.rumours.put(core.table.own)
        self._standing.since = now
        self._standing.begin(now)
        self._standing.check(now)
        self._prober.tick(now)
        self._syncer.begin(now)
        core.agenda.at(now + core.settings.tombstone_ms / SWEEPS, "sweep")

    def _leave(self, now: float) -> None:
        """Tell the voters and some others; they pass it on."""
        core = self._core
        own = replace(core.table.own, state=MemberState.LEFT)
        core.table.take(now, own)
        live = core.table.others(*LIVE)
        told = [member for member in live if member.update.name in core.settings.voters]
        told += core.sample([member for member in live if member not in told], FAREWELLS)
        for member in told:
            core.send_member(member, UpdateBatch(), (own,))
        core.tell("member", name=core.name, state="left", incarnation=own.incarnation, why="leaving")
        self._left = True

    def _do(self, now: float, task: Task) -> None:
        core = self._core
        tasks: dict[str, Callable[[], None]] = {
            "tick": lambda: self._prober.tick(now),
            "check": lambda: self._standing.check(now),
            "direct": lambda: self._prober.ask_others(now, int(task[1])),
            "errand": lambda: self._prober.errand_due(now, int(task[1])),
            "suspicion": lambda: self._judge.due(now, str(task[1])),
            "warn": lambda: self._judge.warn(str(task[1])),
            "sync": lambda: self._syncer.tick(now, self._standing.majority),
            "sweep": lambda: self._sweep(now),
            "held": core.table.touch,
            "stand": lambda: None,
        }
        tasks[task[0]]()

    def _sweep(self, now: float) -> None:
        kept = self._core.settings.tombstone_ms
        self._core.table.sweep(now - kept)
        self._core.agenda.at(now + kept / SWEEPS, "sweep")
