"""The actions of a scenario's steps, carried out on real processes and on the UDP relay between them."""

from __future__ import annotations

import signal
from collections.abc import Mapping, Sequence
from dataclasses import replace

from fleet_sim.faults import links_across
from fleet_sim.scenario_actions import parse_arrow, parse_quality

from fleet_harness.environment import Environment

# The words of an action, or the words after its verb.
Words = Sequence[str]

# The signal that each action of this kind sends.
SIGNALS: Mapping[str, signal.Signals] = {
    "kill": signal.SIGKILL,
    "pause": signal.SIGSTOP,
    "continue": signal.SIGCONT,
    "leave": signal.SIGTERM,
}


class UnknownActionError(ValueError):
    """The harness has no action with this verb."""

    def __init__(self) -> None:
        super().__init__("no such action")


class StepActions:
    """Carries out one action at a time; ``timeout_ms`` limits actions that wait."""

    def __init__(self, environment: Environment, timeout_ms: float) -> None:
        self._environment = environment
        self._timeout_ms = timeout_ms

    async def perform(self, words: Words) -> None:
        """Carry out an action; raises ValueError or LookupError if it is unknown or malformed."""
        environment = self._environment
        verb, *arguments = words
        match verb:
            case "start" | "restart":
                for name in arguments:
                    await environment.start(name)
            case "kill" | "pause" | "continue" | "leave":
                await self._send_signals(verb, arguments)
            case "tear":
                for name in arguments:
                    await environment.wait_for_exit(name)
                    environment.truncate_data(name)
            case "traffic":
                await environment.wait_for_datagrams(int(arguments[0]), self._timeout_ms)
            case "wait":
                pass
            case _:
                environment.events.add_fault(" ".join(words))
                self._inject_link_fault(verb, arguments)

    async def _send_signals(self, verb: str, arguments: Words) -> None:
        without_disk = list(arguments[-2:]) == ["without", "disk"]
        names = arguments[:-2] if without_disk else arguments
        for name in names:
            self._environment.send_signal(name, SIGNALS[verb])
        if without_disk:
            for name in names:
                await self._environment.wait_for_exit(name)
                self._environment.remove_data(name)

    def _inject_link_fault(self, verb: str, arguments: Words) -> None:
        environment = self._environment
        match verb, *arguments:
            case "cut", *arrow:
                environment.set_links_cut(parse_arrow(arrow), cut=True)
            case "split", *_:
                groups = tuple(tuple(group.split()) for group in " ".join(arguments).split("/"))
                environment.set_links_cut(links_across(groups), cut=True)
            case "flap", *arrow, "every", interval_ms:
                self._flap(arrow, float(interval_ms))
            case "heal", *arrow:
                self._heal(arrow)
            case "noise", *qualities:
                self._set_quality(qualities)
            case "replay", *arrow, count:
                ((source, target),) = parse_arrow(arrow)
                environment.relay.replay(source, target, int(count))
            case _:
                raise UnknownActionError

    def _flap(self, arrow: Words, interval_ms: float) -> None:
        """Cut and heal links alternately."""
        links = parse_arrow(arrow)
        first_link = self._environment.relay.links[links[0]]
        self._environment.call_repeatedly(
            interval_ms, lambda: self._environment.set_links_cut(links, not first_link.cut)
        )

    def _heal(self, arrow: Words) -> None:
        """End all flapping and heal the given links; if none is given, heal all and reset their quality."""
        environment = self._environment
        environment.stop_repeated_calls()
        if arrow:
            environment.set_links_cut(parse_arrow(arrow), cut=False)
        else:
            environment.set_links_cut(list(environment.relay.links), cut=False)
            environment.relay.reset_quality()

    def _set_quality(self, qualities: Words) -> None:
        changes = parse_quality(qualities)
        for link in self._environment.relay.links.values():
            link.quality = replace(link.quality, **changes)
