"""Plays one scenario on a rig: carries out each step, then waits until all is seen that must be."""

from __future__ import annotations

import signal
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError
from twisted.internet.protocol import Factory, Protocol

from fleet_rig.record import Known
from fleet_rig.relay import Link
from fleet_rig.rig import NeverSeenError, Rig
from fleet_rig.scenario import Line, Scenario, Wanted

SIGNALS = {
    "kill": signal.SIGKILL,
    "stop": signal.SIGSTOP,
    "cont": signal.SIGCONT,
    "term": signal.SIGTERM,
}
SHARES = "loss", "duplicate", "reorder"


@dataclass(frozen=True, slots=True)
class Verdict:
    """How a scenario ended; ``why`` is empty where all was seen."""

    why: str
    seconds: float
    timeline: str


class _Caller(Protocol):
    """One call at an operators' door."""

    def __init__(self) -> None:
        self.reply, self.whole = b"", Deferred[bytes]()

    def connectionMade(self) -> None:  # noqa: N802
        transport: Any = self.transport
        transport.write(b"fleet\n")

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.reply += data

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self.whole.callback(self.reply)


async def ask(reactor: Any, door: tuple[str, int]) -> str:
    """The reply of a router's door to ``fleet``."""
    endpoint: Any = TCP4ClientEndpoint(reactor, door[0], door[1], timeout=5)
    caller: Any = await endpoint.connect(Factory.forProtocol(_Caller))
    return str((await caller.whole).decode())


class Stage:
    """One scenario on one rig."""

    def __init__(self, reactor: Any, scenario: Scenario, seed: int = 1) -> None:
        self.reactor, self.scenario = reactor, scenario
        nodes, voters, foreign = scenario.nodes, scenario.voters, scenario.foreign
        self.rig = Rig(reactor, nodes, voters, foreign, scenario.timings, seed)
        self.before: Mapping[str, Mapping[str, int]] = {}

    async def play(self) -> Verdict:
        """All lines, in order, to the first that is not seen; every process is ended in the end."""
        why, since = "", self.reactor.seconds()
        try:
            for line in self.scenario.lines:
                await self._play(line)
        except (NeverSeenError, ConnectError) as never:
            why = str(never)
        finally:
            seconds = self.reactor.seconds() - since
            await self.rig.stop()
        return Verdict(why, seconds, self.rig.record.timeline())

    async def _play(self, line: Line) -> None:
        known = self.rig.record.known
        self.before = {name: dict(told.incarnations) for name, told in known.items()}
        if line.step:
            await self._do(line.step[0], line.step[1:])
        for wanted in line.wanted:
            await self._see(wanted)

    # -- steps --

    async def _do(self, verb: str, words: Sequence[str]) -> None:
        if verb in SIGNALS:
            for name in words:
                self.rig.signal(name, SIGNALS[verb])
        elif verb in ("start", "restart", "restart-bare"):
            await self._start(verb, words)
        elif verb == "traffic":
            await self.rig.traffic(int(words[0]), self.scenario.within_ms)
        else:
            self.rig.record.fault(" ".join((verb, *words)))
            self._spoil(verb, words)

    async def _start(self, verb: str, names: Sequence[str]) -> None:
        for name in names:
            node = self.rig.nodes.get(name)
            if node is not None and not node.ended.called:
                await self.rig.until(lambda node=node: node.ended.called, 5_000.0, f"end of {name}")  # type: ignore[misc]
            if verb == "restart-bare":
                self.rig.forget(name)
            self.rig.start(name)

    def _spoil(self, verb: str, words: Sequence[str]) -> None:
        if verb == "steady":
            self.rig.quiet()
        elif verb == "flap":
            (link,) = self._links(words[1:])
            self.rig.every(float(words[0]), lambda: self._turn(link, words[1]))
        elif verb == "replay":
            self.rig.relay.replay(*words[0].split(">"))
        elif verb in ("cut", "heal"):
            for link in self._links(words):
                link.mend()
                link.cut = verb == "cut"
        else:
            for link in self._links(words[1:]):
                self._set(link, verb, float(words[0]))

    def _turn(self, link: Link, name: str) -> None:
        link.cut = not link.cut
        self.rig.record.fault(f"{name} {'cut' if link.cut else 'healed'}")

    def _set(self, link: Link, verb: str, value: float) -> None:
        match verb:
            case "loss":
                link.loss = value / 100.0
            case "duplicate":
                link.duplicate = value / 100.0
            case "reorder":
                link.reorder = value / 100.0
            case "delay":
                link.delay_ms = value

    def _links(self, words: Sequence[str]) -> list[Link]:
        relay, told = self.rig.relay, " ".join(words)
        if ">" in told:
            return relay.between(*([side] for side in told.split(">")))
        if "/" in told:
            left, right = (side.split() for side in told.split("/"))
            return relay.between(left, right) + relay.between(right, left)
        names = words or self.rig.names
        return relay.between(names, names)

    # -- what must be seen --

    async def _see(self, wanted: Wanted) -> None:
        names = sorted(self.rig.running) if wanted.routers == ("all",) else list(wanted.routers)
        if wanted.words[0] == "door":
            for name in names:
                await self._see_door(name, " ".join(wanted.words[1:]))
            return
        what = str(wanted)
        if wanted.words[0] == "never" and not all(self._holds(name, wanted.words) for name in names):
            raise NeverSeenError(f"seen: {what}")
        within_ms = self.scenario.within_ms
        await self.rig.until(lambda: all(self._holds(name, wanted.words) for name in names), within_ms, what)

    async def _see_door(self, name: str, text: str) -> None:
        reply = await ask(self.reactor, self.rig.doors[name])
        if not (reply.startswith("ACK\n") and reply.endswith("--\n") and text in reply):
            raise NeverSeenError(f"door of {name}: no {text!r} in {reply!r}")

    def _holds(self, name: str, words: Sequence[str]) -> bool:
        known = self.rig.record.known.get(name, Known())
        match words:
            case ("alive",):
                others = self.rig.running - self.rig.foreign - {name}
                return all(known.states.get(other) == "alive" for other in others)
            case ("never", "failed"):
                return not known.failed
            case ("never", other, "failed"):
                return other not in known.failed
            case ("majority", held):
                return str(known.last.get("majority", {}).get("held")) == held
            case ("mode", mode):
                return str(known.last.get("mode", {}).get("mode")) == mode
            case ("refused", why):
                return known.refused.get(why, 0) > 0
            case ("exit", code):
                return str(known.last.get("exit", {}).get("code")) == code
            case (other, "anew"):
                old = self.before.get(name, {}).get(other, -1)
                return known.states.get(other) == "alive" and known.incarnations[other] > old
            case (other, state):
                return known.states.get(other) == state
        return False
