"""Members on a simulated network of one latency, for tests: cuts by direction, loss, pauses, restarts."""

from __future__ import annotations

import heapq
import random
from dataclasses import replace

from fleet_membership import MembershipSettings, MemberState, Mode, View
from fleet_membership.intake import Inbox
from fleet_membership.machine import Membership
from fleet_seam import Action, Address, Event, Heard, Leaving, Send, SetTimer, Started, TimerFired, Told

DELAY = 2.0
Item = tuple[float, int, str, int, Event]


class Bench:
    """``cut`` holds (from, to) pairs of names; ``heard`` all that the members told, with time and name."""

    def __init__(self, count: int, voters: int = 3, seed: int = 1, loss: float = 0.0) -> None:
        self.now, self.loss, self.random = 0.0, loss, random.Random(seed)
        self.names = [f"r{at}" for at in range(count)]
        self.voters = tuple(self.names[:voters])
        self.cut: set[tuple[str, str]] = set()
        self.paused: dict[str, list[Item]] = {}
        self.told: list[tuple[float, str, Told]] = []
        self.sent: list[tuple[str, Send]] = []
        self.inboxes: dict[str, Inbox] = {}
        self.lives: dict[str, int] = {}
        self.members: dict[str, Membership] = {}
        self._queue: list[Item] = []
        self._serial = 0
        for name in self.names:
            self.start(name)

    def address(self, name: str) -> Address:
        return "127.0.0.1", 5000 + int(name[1:])

    def start(self, name: str, incarnation: int = 1, **changes: object) -> None:
        seeds = tuple(self.address(seed) for seed in self.voters)
        settings = MembershipSettings(
            name, self.address(name), "fleet", bytes(16), seeds, self.voters, incarnation
        )
        self.lives[name] = self.lives.get(name, 0) + 1
        self.paused.pop(name, None)
        draw = random.Random(f"{name} {self.lives[name]}").random
        self.members[name] = Membership(
            replace(settings, **changes),  # type: ignore[arg-type]
            draw,
            self.inboxes.get(name),
        )
        self.feed(name, Started())

    def kill(self, name: str) -> None:
        del self.members[name]

    def leave(self, name: str) -> None:
        self.feed(name, Leaving())
        self.kill(name)

    def pause(self, name: str) -> None:
        self.paused[name] = []

    def resume(self, name: str) -> None:
        for item in self.paused.pop(name):
            heapq.heappush(self._queue, (self.now, *item[1:]))

    def feed(self, name: str, event: Event) -> None:
        self.act(name, self.members[name].handle(self.now, event))

    def act(self, name: str, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Told():
                    self.told.append((self.now, name, action))
                case SetTimer(in_ms, token):
                    self._push(self.now + in_ms, name, TimerFired(token))
                case Send(to, data):
                    self.sent.append((name, action))
                    other = f"r{to[1] - 5000}"
                    if (name, other) not in self.cut and self.random.random() >= self.loss:
                        self._push(self.now + DELAY, other, Heard(self.address(name), data))

    def _push(self, at: float, name: str, event: Event) -> None:
        self._serial += 1
        heapq.heappush(self._queue, (at, self._serial, name, self.lives.get(name, 0), event))

    def run(self, ms: float) -> None:
        end = self.now + ms
        while self._queue and self._queue[0][0] <= end:
            item = heapq.heappop(self._queue)
            self.now, _, name, life, event = item
            if name in self.paused:
                self.paused[name].append(item)
            elif name in self.members and (life == self.lives[name] or isinstance(event, Heard)):
                self.feed(name, event)
        self.now = end

    def split(self, *halves: list[str]) -> None:
        side = {name: at for at, half in enumerate(halves) for name in half}
        self.cut = {(a, b) for a in side for b in side if side[a] != side[b]}

    def view(self, name: str) -> View:
        return self.members[name].view(self.now)

    def state(self, of: str, by: str) -> MemberState | None:
        member = self.view(by).members.get(of)
        return member.state if member else None

    def modes(self) -> dict[str, Mode]:
        return {name: self.view(name).mode for name in self.members}

    def events(self, event: str, **fields: object) -> list[tuple[float, str, Told]]:
        return [
            told for told in self.told if told[2].name == event and fields.items() <= told[2].fields.items()
        ]

    def agreed(self) -> bool:
        """Whether all see each other alive, with the same incarnations, and hold a majority."""
        views = [self.view(name) for name in self.members]
        tables = [
            {name: (m.state, m.incarnation) for name, m in view.members.items() if name in self.members}
            for view in views
        ]
        alive = all(state is MemberState.ALIVE for table in tables for state, _ in table.values())
        whole = all(len(table) == len(self.members) for table in tables)
        return alive and whole and all(t == tables[0] for t in tables) and all(v.majority for v in views)
