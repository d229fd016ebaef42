"""A scripted discovery for tests: it holds, answers, cuts and half-closes on command, and keeps what it was
asked.  Round it a command channel on real loopback connections, its deadlines by a clock that is turned by
hand; and lines of lists, with what the decisions make of them."""

from __future__ import annotations

import json
import os
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from twisted.internet import protocol, reactor
from twisted.internet.defer import inlineCallbacks
from twisted.python.failure import Failure

from fakes.loopback_environment import until
from thornjunction import interface as api
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.discovery.watch_client import MOST_AGAIN_MS, WatchClient
from thornjunction.net.event_loop.ports import Transport
from thornjunction.net.event_loop.transport import BuildFactory
from thornjunction.net.wire import http1
from thornjunction.net.wire.commands import Command, Purge
from thornjunction.runtime.service import Service

Step = Callable[["WatchStandIn"], None]


def answer(told: object, status: int = 200) -> bytes:
    """A whole answer; an object goes as JSON."""
    body = told if isinstance(told, bytes) else json.dumps(told).encode()
    return http1.encode_response(http1.HttpResponse(status, {}, body, True))


def say(*pieces: bytes, end: Step | None = None) -> Step:
    """Write these bytes in answer to a poll, and then perhaps end the connection."""

    def step(link: WatchStandIn) -> None:
        for piece in pieces:
            link.transport.write(piece)
        if end is not None:
            end(link)

    return step


def hold(link: WatchStandIn) -> None:
    """Say nothing."""


def cut(link: WatchStandIn) -> None:
    link.transport.abortConnection()


def half_close(link: WatchStandIn) -> None:
    link.transport.loseWriteConnection()


def purge(number: int) -> dict[str, Any]:
    """The event of that number: a purge of long ago."""
    return {"cursor": number, "drop": {"id": f"{number:016x}", "when": 1764576000123 + number}}


def purges(first: int, last: int) -> list[dict[str, Any]]:
    return [purge(number) for number in range(first, last + 1)]


def told(events: list[Any], cursor: int) -> bytes:
    """The body of an answer."""
    return json.dumps({"cursor": cursor, "cmds": events}).encode()


def chunked(body: bytes, size: int, end: bytes = b"0\r\n\r\n") -> bytes:
    """An answer in chunks of so many bytes."""
    parts = (body[start : start + size] for start in range(0, len(body), size))
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + end


HEAD = b"HTTP/1.1 200 OK\r\n"
GOOD = answer({"cursor": 1, "cmds": [{"cursor": 1, "drop": {"family": 3, "when": 5}}]})  # the first event
BAD: dict[str, Step] = {  # what is no answer
    "garbage": say(b"\x00\xff\r\n\r\n"),
    "no JSON": say(answer(b"{")),
    "no events": say(answer({"cursor": 1})),
    "no list of them": say(answer({"cursor": 1, "cmds": {"cursor": 1}})),
    "a cursor without bounds": say(answer(b'{"cursor": 1e400, "cmds": []}')),
    "a cursor that is none": say(answer(b'{"cursor": NaN, "cmds": []}')),
    "deep": say(answer(b"[" * 100_000)),
    "nothing but faults": say(answer({"cursor": 1, "cmds": [{"nodes": {"hosts": [{}] * 2000}}]})),
    "500": say(answer({"cursor": 9, "cmds": []}, 500)),
    "404": say(answer({}, 404)),
    "endless headers": say(HEAD + b"a: b\r\n" * 4000),
    "huge": say(HEAD + b"Content-Length: 64000001\r\n\r\n"),  # a byte over the bound of a long answer
    "huge in chunks": say(HEAD + b"Transfer-Encoding: chunked\r\n\r\n3d09001\r\n"),
    "no chunk": say(HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
    "no length": say(HEAD + b"\r\n" + GOOD.partition(b"\r\n\r\n")[2]),
    "cut": cut,
    "half-close": half_close,
    "half, and closed": say(GOOD[:-9], end=half_close),
}
MORE = {"a second answer": say(GOOD + GOOD), "a byte more": say(GOOD + b"x")}  # behind an answer


ORIGIN = {"host": "o", "dial": "127.0.0.1:9", "site": "hub", "class": "root", "health": "active", "share": 4}


def line(name: str, **more: Any) -> dict[str, Any]:
    """One of a list: an edge cache."""
    return ORIGIN | {"host": name, "site": "z1", "class": "box"} | more


def in_short(taken: Command) -> str:
    """What an event says: shelfs and their states, or a purge's object, group and time."""
    if isinstance(taken, Purge):
        return f"{taken.key}/{taken.group}/{taken.issued_unix_ms}"
    return " ".join(f"{host.name}:{host.state.name}" for host in taken.hosts)


def fetched_from(service: Service) -> str:
    """Where the decisions send a request now."""
    request = api.Request(os.urandom(4).hex(), "files", 7, 2000.0, size_kb=10.0)
    (sent,) = [a for a in service.router.handle(2e9, request) if isinstance(a, api.StartAttempt)]
    return sent.server


class WatchStandIn(protocol.Protocol):
    """One connection of the channel."""

    transport: Transport  # type: ignore[assignment]

    def __init__(self, discovery: Any) -> None:
        self.discovery, self.reader, self.ended = discovery, http1.RequestReader(0), ""

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.setTcpNoDelay(True)
        self.discovery.links.append(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        for request in self.reader.feed(data):
            self.heard({key: values[0] for key, values in parse_qs(urlsplit(request.target).query).items()})

    def heard(self, query: dict[str, str]) -> None:
        self.discovery.polled(self, int(query["resume"]), int(query["block"]))

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:  # noqa: N802
        self.ended = type(reason.value).__name__


class ScriptedDiscovery:
    """Each poll takes the next step of the script.  Where that has run out, it is answered with the later
    events: at once where there are any or the poll is a short one, else as soon as one is told."""

    def __init__(self) -> None:
        self.script: list[Step] = []
        self.polls: list[tuple[int, int]] = []  # resume and block of each
        self.links: list[WatchStandIn] = []
        self.events: list[dict[str, Any]] = []
        self.held: tuple[WatchStandIn, int] | None = None
        listen: Any = reactor
        self.port = listen.listenTCP(0, BuildFactory(lambda: WatchStandIn(self)), interface="127.0.0.1")
        self.address = ("127.0.0.1", int(self.port.getHost().port))

    def polled(self, link: WatchStandIn, resume: int, block: int) -> None:
        self.polls.append((resume, block))
        if self.script:
            return self.script.pop(0)(link)
        self.held = link, resume
        if block == 1 or len(self.events) > resume:
            self.release()

    def release(self) -> None:
        """Answer the poll that is held."""
        if self.held is not None:
            (link, resume), self.held = self.held, None
            link.transport.write(answer({"cursor": len(self.events), "cmds": self.events[resume:]}))

    @inlineCallbacks
    def stop(self) -> Any:
        """Close the port, and all connections."""
        yield self.port.stopListening()
        for link in self.links:
            link.transport.abortConnection()
        yield until(lambda: all(link.ended for link in self.links))

    def tell(self, **event: Any) -> None:
        """The next event, by its verb; a poll that is held hears it."""
        self.events.append({"cursor": len(self.events) + 1, **event})
        self.release()


class HandClock:
    """A clock that is turned by hand, and the deadlines by it."""

    def __init__(self) -> None:
        self.now, self.deadlines = 1000.0, Deadlines()

    def pass_time(self, ms: float) -> None:
        """Run what falls due, each at its time, with no turn of the reactor between."""
        end = self.now + ms
        while (due := self.deadlines.next_due()) <= end:
            self.now = max(self.now, due)
            self.deadlines.run_due(self.now)
        self.now = end


class WatchRig(HandClock):
    """The real channel at a scripted discovery."""

    def __init__(self) -> None:
        super().__init__()
        self.taken = list[Command]()
        self.discovery = ScriptedDiscovery()
        self.channel = self.build(self.discovery.address)

    def build(self, address: tuple[str, int]) -> WatchClient:
        """A channel that has heard nothing; it takes the place of the one before."""
        clock: Callable[[], float] = lambda: self.now  # noqa: E731
        self.channel = WatchClient(reactor, address, self.deadlines, clock, self.taken.append, lambda: None)
        return self.channel

    @inlineCallbacks
    def afresh(self, *script: Step) -> Any:
        """A new channel, dialled at a discovery that has heard nothing."""
        yield self.end()
        self.taken.clear()
        self.discovery.polls.clear()
        self.discovery.script[:] = script
        self.build(self.discovery.address).start()

    def come(self, holds: Callable[[], Any]) -> Any:
        """Until something holds, with what is due at this moment run; no time passes."""
        return until(lambda: (self.deadlines.run_due(self.now), holds())[1])  # type: ignore[func-returns-value]

    @inlineCallbacks
    def polled(self, times: int) -> Any:
        yield until(lambda: len(self.discovery.polls) >= times)

    @inlineCallbacks
    def failed(self, times: int) -> Any:
        """Until connections have failed so often in a row; then past the pause, until the next dial."""
        for failures in range(1, times + 1):
            yield until(lambda failures=failures: self.channel.failures == failures)  # type: ignore[misc]
            while self.channel._dialling is None and failures < times:
                self.pass_time(10.0)
        self.pass_time(MOST_AGAIN_MS)

    @inlineCallbacks
    def ended(self, pause_ms: float) -> Any:
        """Until the connection has ended; then past the pause before the next."""
        yield until(lambda: self.channel.link is None)
        self.pass_time(pause_ms)

    @inlineCallbacks
    def end(self) -> Any:
        self.channel.stopped = True
        if self.channel.link is not None:
            self.channel.link.close("test")
        yield until(lambda: self.channel.link is None and self.channel._dialling is None)

    @inlineCallbacks
    def stop(self) -> Any:
        yield self.end()
        yield self.discovery.stop()
