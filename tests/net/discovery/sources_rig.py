"""Scripted sources of control on real loopback connections, and a router's channel at them, its deadlines
by a clock that is turned by hand."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from control_client import SourceSelector
from fakes.event_loop import reactor, wait_until
from fakes.fake_discovery import FakeDiscoveryConnection
from fakes.manual_clock import ManualClock
from fakes.watch_messages import encode_answer
from twisted.internet import protocol
from twisted.internet.defer import inlineCallbacks
from twisted.python.failure import Failure

from thornjunction.net.discovery.multi_source_watch import MultiSourceWatch
from thornjunction.net.event_loop.transport import BuildFactory
from thornjunction.net.wire.commands import Command, ListChange

Query = dict[str, str]


class SourceLink(FakeDiscoveryConnection):
    """One connection of a source; its polls have more words."""

    def __init__(self, source: ScriptedSource) -> None:
        super().__init__(source)
        self.source = source

    def handle_query(self, query: Query) -> None:
        self.source.asked(self, query)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        super().connectionLost(reason)
        if self.source.held is not None and self.source.held[0] is self:
            self.source.held = None


class ScriptedSource:
    """A relay, or a plain discovery where ``epoch`` is empty.  ``events`` are its log; ``state`` is the
    list as it stands, and ``purges`` hold.  ``way`` is ``up``, ``hung``, or a status; ``cut`` ends the
    next answer in its middle."""

    def __init__(self, epoch: str) -> None:
        self.epoch, self.age_ms, self.way, self.cut = epoch, 0, "up", False
        self.slow, self.unsaid, self.head_last = False, b"", False
        self.number = 0
        self.seq, self.state = 0, dict[str, dict[str, Any]]()
        self.listed_at = 0
        self.purges: list[dict[str, Any]] = []
        self.events: list[dict[str, Any]] = []
        self.polls, self.probes = list[Query](), list[Query]()
        self.connections: list[SourceLink] = []
        self.held: tuple[SourceLink, Query] | None = None
        self.port: Any = None
        self.listen(0)
        self.address = ("127.0.0.1", int(self.port.getHost().port))

    def listen(self, port: int) -> None:
        self.port = reactor.listenTCP(port, BuildFactory(lambda: SourceLink(self)), interface="127.0.0.1")

    @inlineCallbacks
    def kill(self) -> Any:
        yield self.port.stopListening()
        for link in self.connections:
            link.transport.abortConnection()
        yield wait_until(lambda: all(link.disconnect_cause for link in self.connections))
        self.connections.clear()
        self.held = None

    def revive(self, epoch: str) -> None:
        """The same address, under another epoch."""
        self.epoch, self.way = epoch, "up"
        self.listen(self.address[1])

    def list_(self, seq: int, **health: str) -> ScriptedSource:
        """Shelfs and their states: a whole list where there is none yet, else a change."""
        whole, self.number, self.seq = not self.state, self.number + 1, seq
        lines = [{"host": name, "health": state} for name, state in health.items()]
        self.state |= {line["host"]: line for line in lines}
        self.listed_at = self.number
        nodes = {"seq": seq, "whole": whole, "hosts": lines}
        self.events.append({"cursor": self.number, "nodes": nodes})
        self.release()
        return self

    def purge(self, family: int, when: int) -> ScriptedSource:
        self.number += 1
        self.purges.append({"cursor": self.number, "drop": {"family": family, "when": when}})
        self.events.append(self.purges[-1])
        self.release()
        return self

    def forget_purges(self) -> None:
        """Their hold has passed."""
        self.purges.clear()
        self.events = [event for event in self.events if "nodes" in event]

    def whole(self) -> list[dict[str, Any]]:
        nodes = {"seq": self.seq, "whole": True, "hosts": list(self.state.values())}
        events = [{"cursor": self.listed_at, "nodes": nodes}, *self.purges]
        return sorted(events, key=lambda event: int(event["cursor"]))

    def asked(self, link: SourceLink, query: Query) -> None:
        if query.get("as") == "probe":
            self.probes.append(query)
            if self.way != "hung":
                self.say(link, [])
            return
        self.polls.append(query)
        self.held = link, query
        known = query.get("epoch", "") == self.epoch and 0 < int(query["resume"]) <= self.number
        if query["block"] == "1" or not known or int(query["resume"]) < self.events[-1]["cursor"]:
            self.release()

    def release(self) -> None:
        """Answer the poll that is held."""
        if self.held is None or self.way == "hung":
            return
        (link, query), self.held = self.held, None
        resume = int(query["resume"])
        if query.get("epoch", "") == self.epoch and (resume > 0 or not self.epoch):
            events = [event for event in self.events if event["cursor"] > resume]
        else:
            events = self.whole()
        self.say(link, events)

    def say(self, link: SourceLink, events: list[dict[str, Any]]) -> None:
        head: dict[str, Any] = {"cursor": self.number}
        if self.epoch:
            head |= {"epoch": self.epoch, "age": self.age_ms}
        told = {"cmds": events} | head if self.head_last else head | {"cmds": events}
        data = encode_answer(told, 200 if self.way == "up" else int(self.way))
        if self.slow:
            self.unsaid = data
        elif self.cut:
            self.cut = False
            link.transport.write(data[: len(data) // 2])
            link.transport.abortConnection()
        else:
            link.transport.write(data)


class SourcesRig(ManualClock):
    """The real channel at scripted sources ``a``, ``b``, and so on."""

    def __init__(self, *epochs: str) -> None:
        super().__init__()
        self.now_ms = 1e6
        self.sources = [ScriptedSource(epoch) for epoch in epochs]
        self.taken: list[Command] = []
        self.confirmed: list[tuple[float, int]] = []
        self.epochs = self.current = 0
        machine = SourceSelector([source.address for source in self.sources], lambda: 0.5)
        clock: Callable[[], float] = lambda: self.now_ms  # noqa: E731
        self.channel = MultiSourceWatch(
            reactor,
            machine,
            10_000.0,
            self.deadlines,
            clock,
            self.taken.append,
            lambda: setattr(self, "current", self.current + 1),
            "r1",
            lambda sibling: "&as=sibling" if sibling else "&as=router&name=r1",
            lambda: setattr(self, "epochs", self.epochs + 1),
            lambda age_ms, number: self.confirmed.append((age_ms, number)),
        )

    @inlineCallbacks
    def asked(self, source: ScriptedSource, times: int = 1) -> Any:
        """Until this source holds a poll, after so many polls."""
        yield wait_until(lambda: len(source.polls) >= times and source.held is not None)

    def turned(self, holds: Callable[[], bool]) -> Any:
        """Until something holds, with what falls due now: pieces of a long answer take turns."""

        def after_a_turn() -> bool:
            self.advance(0.0)
            return holds()

        return wait_until(after_a_turn)

    @inlineCallbacks
    def live(self, ms: float, step_ms: float = 400.0) -> Any:
        """Let time pass while the sources that are up answer the polls they hold, and all probes end."""
        end = self.now_ms + ms
        while self.now_ms < end:
            self.advance(min(step_ms, end - self.now_ms))
            yield self.settled()

    @inlineCallbacks
    def settled(self) -> Any:
        """Until no dial and no probe is out, and each poll that is held by a source that is up is a new
        one."""
        yield wait_until(self.rests)
        for source in self.sources:
            if source.held is not None and source.way == "up":
                polls = len(source.polls)
                source.release()
                yield wait_until(lambda source=source, polls=polls: self.heard(source, polls))  # type: ignore[misc]
        yield wait_until(self.rests)

    def rests(self) -> bool:
        """Whether nothing is on its way: no dial, no probe, no poll that its source has not got."""
        channel, link = self.channel, self.channel.link
        if channel._dialling is not None or channel.probes:
            return False
        if channel._asked_for is None:
            return True
        source = next(source for source in self.sources if source.address == channel._asked_for)
        if channel.address != source.address or link is None:
            return False
        return not link.asked or (source.held is not None and (link.polls > 0 or source.way == "hung"))

    def heard(self, source: ScriptedSource, polls: int) -> bool:
        """Whether an answer was taken: there is another poll, or a pause before it, or nobody asks here."""
        link = self.channel.link
        return (
            len(source.polls) > polls
            or link is None
            or not link.asked
            or self.channel.address != source.address
        )

    def purged(self) -> list[int]:
        return [command.group for command in self.taken if not isinstance(command, ListChange)]

    def listed(self) -> dict[str, str]:
        """The list as whoever applies what was taken holds it."""
        held: dict[str, str] = {}
        for command in self.taken:
            if isinstance(command, ListChange):
                held = {} if command.is_complete else held
                held |= {host.name: host.state.name for host in command.hosts}
        return held

    @inlineCallbacks
    def stop(self) -> Any:
        self.channel.stopped = True
        if self.channel.link is not None:
            self.channel.link.close("test")
        elif self.channel._dialling is not None:
            self.channel._dialling.cancel()
        yield wait_until(lambda: self.channel.link is None and self.channel._dialling is None)
        for source in self.sources:
            yield source.kill()
