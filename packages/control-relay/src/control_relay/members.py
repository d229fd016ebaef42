"""Who polls, and what each has confirmed."""

from __future__ import annotations

import math
import re
from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from sortedcontainers import SortedDict

from control_relay.encoding import whole_number
from control_relay.events import Polled
from control_relay.settings import RelaySettings

NAME = re.compile(r"[A-Za-z0-9._-]{1,32}", re.ASCII)  # of an epoch, a router or a relay
MOST_BEHIND = 1 << 20  # routers behind a relay
MOST_NAMES = 8  # that are handed up or shown
MOST_TOLD = 64  # answers of a router that it has not confirmed yet


@dataclass(slots=True, eq=False)
class Router:
    """A router or a relay below.  ``told``: of answers that it has not confirmed, the last event's number
    and up to where the answer covers.  ``whole_at``: the number of the list in the last whole state that it
    was told, None where that is not known."""

    name: str
    role: str
    expected: bool
    seen_at: float
    poller: int = 0
    block_ms: float = 0.0
    resume: int = 0
    whole_at: int | None = None
    confirmed: int = 0
    behind: int = 0
    names: tuple[str, ...] = ()
    told: list[tuple[int, int]] = field(default_factory=list)

    def tell(self, last: int, covers: int) -> None:
        """An answer goes out."""
        if len(self.told) >= MOST_TOLD:
            del self.told[::2]  # Guards memory: the answers in between are confirmed with the later ones
        self.told.append((last, covers))

    def covered(self, taken: int) -> int:
        """Up to where it holds all, when it says that it has taken the event of this number."""
        covers, behind = self.confirmed, 0
        for last, upto in self.told:
            if last > taken:
                break
            covers, behind = max(covers, upto), behind + 1
        del self.told[:behind]
        return covers

    @property
    def weight(self) -> int:
        """Routers that it stands for."""
        return max(1, self.behind) if self.role == "relay" else 1

    @property
    def shown(self) -> tuple[str, ...]:
        """Their names, as far as they are known."""
        return self.names if self.role == "relay" and self.names else (self.name,)


class Routers:
    """By name; by what they have confirmed, so that the least of it is known without a search; by their
    silence."""

    def __init__(self, settings: RelaySettings, now: float) -> None:
        self._absent_ms, self._most = settings.absent_ms, settings.most_routers
        self._by_name: dict[str, Router] = {}
        self._levels: SortedDict[int, dict[str, Router]] = SortedDict()
        self._silence: OrderedDict[str, Router] = (
            OrderedDict()
        )  # those not expected; the longest silent first
        self.lowest = math.inf  # confirmed by all; infinite: nobody is there
        self.forgotten = 0
        for name in settings.expected[: self._most]:
            self._enter(Router(name, "router", True, now))

    def __len__(self) -> int:
        return len(self._by_name)

    def __iter__(self) -> Iterator[Router]:
        return iter(self._by_name.values())

    def get(self, name: object) -> Router | None:
        return self._by_name.get(name) if isinstance(name, str) else None

    def polled(self, now: float, name: str, role: str, block_ms: float) -> Router | None:
        """Who polls; None when there is no place for one more."""
        router = self._by_name.get(name)
        if router is None:
            if len(self._by_name) >= self._most and not self._forget_one(now):
                return None
            router = Router(name, role, False, now)
            self._enter(router)
        elif not router.expected:
            self._silence.move_to_end(name)
        router.role, router.seen_at, router.block_ms = role, now, block_ms
        return router

    def confirm(self, router: Router, number: int) -> None:
        """From now on it counts as having confirmed this number, which may be lower than before."""
        if number == router.confirmed:
            return
        self._leave_level(router)
        router.confirmed = number
        self._enter_level(router)

    def heard(self, router: Router, poll: Polled, resume: int) -> bool:
        """Take a confirmation in this epoch; False if the number went back: this is another life."""
        if resume < router.resume:
            self.forget_confirmed(router)
            router.resume = resume
            return False
        while router.told and router.told[-1][0] > resume:
            router.told.pop()  # Guards what superseded an event of an answer that never came
        router.resume, taken = resume, resume
        if router.role == "relay":
            taken = min(resume, whole_number(poll.done))
            router.behind = min(max(0, whole_number(poll.behind)), MOST_BEHIND)
            names = poll.names[:MOST_NAMES]
            router.names = tuple(name for name in names if isinstance(name, str) and NAME.fullmatch(name))
        self.confirm(router, router.covered(taken))
        return True

    def forget_confirmed(self, router: Router) -> None:
        """It begins anew."""
        router.told.clear()
        router.resume = 0
        self.confirm(router, 0)

    def dismiss(self, name: object) -> None:
        router = self.get(name)
        if router is not None:
            del self._by_name[router.name]
            self._silence.pop(router.name, None)
            self._leave_level(router)

    def cut_off(self, router: Router, now: float) -> bool:
        return now - router.seen_at > router.block_ms + self._absent_ms

    def below(self, number: int) -> Iterator[Router]:
        """Those that have not confirmed it, the furthest behind first."""
        for level, routers in self._levels.items():
            if level >= number:
                return
            yield from routers.values()

    def _enter(self, router: Router) -> None:
        self._by_name[router.name] = router
        if not router.expected:
            self._silence[router.name] = router
        self._enter_level(router)

    def _enter_level(self, router: Router) -> None:
        number = router.confirmed
        routers = self._levels.get(number)
        if routers is None:
            routers = self._levels[number] = {}
            self.lowest = min(self.lowest, number)
        routers[router.name] = router

    def _leave_level(self, router: Router) -> None:
        routers = self._levels[router.confirmed]
        del routers[router.name]
        if not routers:
            del self._levels[router.confirmed]
            self.lowest = self._levels.keys()[0] if self._levels else math.inf

    def _forget_one(self, now: float) -> bool:
        """The one that is cut off for longest; nobody who is present, nor who is expected."""
        if not self._silence:
            return False
        name, router = next(iter(self._silence.items()))
        if not self.cut_off(router, now):
            return False
        self.dismiss(name)
        self.forgotten += 1
        return True


def names_of(routers: Iterable[Router]) -> tuple[int, tuple[str, ...]]:
    """How many routers these stand for, and some of their names."""
    count = 0
    names: list[str] = []
    for router in routers:
        count += router.weight
        if len(names) < MOST_NAMES:
            names.extend(router.shown)
    return count, tuple(names[:MOST_NAMES])
