"""The acts of a scenario's steps, done to real processes and to the relays between them."""

from __future__ import annotations

import signal
from collections.abc import Sequence
from dataclasses import replace

from fleet_sim.faults import links_across
from fleet_sim.scenario_actions import parse_arrow, parse_quality

from fleet_harness.environment import Rig

Words = Sequence[str]
SIGNALS = {
    "kill": signal.SIGKILL,
    "pause": signal.SIGSTOP,
    "continue": signal.SIGCONT,
    "leave": signal.SIGTERM,
}


class Acts:
    """Carries out one step at a time; ValueError for words that are no act."""

    def __init__(self, rig: Rig, within_ms: float) -> None:
        self.rig, self.within_ms = rig, within_ms

    async def do(self, words: Words) -> None:
        verb, rest = words[0], words[1:]
        match verb:
            case "start" | "restart":
                for name in rest:
                    await self.rig.start(name)
            case "kill" | "pause" | "continue" | "leave":
                await self._signal(verb, rest)
            case "tear":
                for name in rest:
                    await self.rig.ended(name)
                    self.rig.tear(name)
            case "traffic":
                await self.rig.traffic(int(rest[0]), self.within_ms)
            case "wait":
                pass
            case _:
                self.rig.record.fault(" ".join(words))
                self._spoil(verb, rest)

    async def _signal(self, verb: str, words: Words) -> None:
        bare = tuple(words[-2:]) == ("without", "disk")
        names = words[:-2] if bare else words
        for name in names:
            self.rig.signal(name, SIGNALS[verb])
        for name in names if bare else ():
            await self.rig.ended(name)
            self.rig.forget(name)

    def _spoil(self, verb: str, words: Words) -> None:
        rig = self.rig
        match verb, *words:
            case "cut", *link:
                rig.cut(parse_arrow(link), True)
            case "split", *_:
                rig.cut(links_across(tuple(tuple(side.split()) for side in " ".join(words).split("/"))), True)
            case "flap", *link, "every", ms:
                links = parse_arrow(link)
                rig.every(float(ms), lambda: rig.cut(links, not rig.relay.links[links[0]].cut))
            case "heal", *link:
                rig.quiet()
                rig.cut(parse_arrow(link) if link else list(rig.relay.links), False)
                if not link:
                    rig.relay.clear()
            case "noise", *pairs:
                self._noise(pairs)
            case "replay", *link, count:
                ((source, target),) = parse_arrow(link)
                rig.relay.replay(source, target, int(count))
            case _:
                raise ValueError("no such act")

    def _noise(self, words: Words) -> None:
        told = parse_quality(words)
        for link in self.rig.relay.links.values():
            link.quality = replace(link.quality, **told)
