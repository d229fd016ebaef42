"""Many machines on one simulated clock and network.

A run is determined by the seed, the names, the factory and the acts put on the queue: nothing is drawn from
anywhere else, and no order depends on hashing.
"""

from __future__ import annotations

import heapq
import math
import traceback
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from sansio_core import (
    Address,
    DatagramReceived,
    Notice,
    SendDatagram,
    SetTimer,
    ShutdownRequested,
    Started,
    TimerFired,
)

from .network import Link, Network, Quality, Taped
from .node import Factory, Node, State
from .trace import Entry, Kind, told_text

LARGEST = 256  # bytes of a datagram
ANY_LIFE = -1
SPIN = 100_000  # steps within one ms that no sound machine makes

Carry = Callable[["World", Node, Any], None]  # carries out an action of a package's own
Describe = Callable[[bytes], str]  # a message of note in few words; "" for all others


class Violation(Exception):  # noqa: N818 - the standard term of checked histories
    """A check failed: which, where, when (simulated ms), and why."""

    def __init__(self, check: str, at: float, node: str, why: str) -> None:
        super().__init__(check, at, node, why)
        self.check, self.at, self.node, self.why = check, at, node, why

    def __str__(self) -> str:
        return f"{self.check} at {self.at:.1f} ms at {self.node or 'the end'}: {self.why}"


class Invariant(Protocol):
    """Must hold after every event that any node handled; may keep state of its own for one run."""

    name: str

    def check(self, world: World, node: Node) -> str | None:
        """What is wrong after `node` handled an event, or None."""


class World:
    """The event queue, and the acts that faults and scenarios are made of."""

    def __init__(
        self,
        seed: int,
        names: Iterable[str],
        factory: Factory,
        *,
        base: Quality | None = None,
        invariants: Iterable[Invariant] = (),
        describe: Describe | None = None,
        carry: Mapping[type, Carry] | None = None,
    ) -> None:
        self.seed = seed
        self.now = 0.0
        self.steps = 0
        self.network = Network(base)
        self.nodes = {name: Node(name, address_of(index), seed) for index, name in enumerate(names)}
        self.log: list[Entry] = []
        self.listeners: list[Callable[[Node, Notice], None]] = []
        self.topology = 0  # grows with every change of a link or of a process
        self.link_since: dict[Link, float] = {}  # when a link last broke or healed
        self.stormy: set[str] = set()  # faults that last now
        self.calm_since = 0.0  # when the last of them ended
        self._factory = factory
        self._describe = describe
        self._carry = dict(carry or {})
        self._invariants = tuple(invariants)
        self._by_address = {node.address: node for node in self.nodes.values()}
        self._queue: list[tuple[float, int, Node | None, int, Any]] = []
        self._pushed = 0
        self._spin = (0.0, 0)  # since when, and the steps by then

    # -- time

    def at(self, when: float, act: Callable[[], None]) -> None:
        """Do something at a world time, before whatever is queued later for the same moment."""
        self._push(when, None, ANY_LIFE, act)

    def run_until(self, until: float) -> None:
        """Handle all that is due up to a time. Raises Violation."""
        queue = self._queue
        while queue and queue[0][0] <= until:
            self.now, _, node, life, event = heapq.heappop(queue)
            if node is None:
                event()
            elif life in (ANY_LIFE, node.incarnation):
                self.deliver(node, event)
        self.now = until

    def deliver(self, node: Node, event: Any) -> None:
        """Hand a node an event now; a paused one finds it later, one that is down never."""
        if node.state is State.RUNNING:
            self._handle(node, event)
        elif node.state is State.PAUSED:
            node.hold(event)

    # -- processes

    def start(self, name: str) -> None:
        """Begin a life, if the process is down."""
        node = self.nodes[name]
        if node.state is State.DOWN:
            node.begin(self.now, self._factory)
            self._life(node, f"started ({node.incarnation})")
            self._handle(node, Started())

    def kill(self, name: str, cause: str = "", keep_disk: bool = True) -> None:
        """End a life at once, as `kill -9` does."""
        node = self.nodes[name]
        if node.state is not State.DOWN:
            node.end(self.now, cause, keep_disk)
            self._life(node, "killed" if keep_disk else "killed, disk lost")

    def leave(self, name: str, cause: str = "") -> None:
        """End a life in order; a paused process can't hear of it."""
        node = self.nodes[name]
        if node.running:
            self.note(Kind.FAULT, "asked to leave", name)
            self._handle(node, ShutdownRequested())
            node.end(self.now, cause, keep_disk=True)
            self._life(node, "ended")

    def pause(self, name: str) -> None:
        node = self.nodes[name]
        if node.running:
            node.turn(State.PAUSED, self.now)
            self._life(node, "paused")

    def resume(self, name: str) -> None:
        """Continue a paused process: what waited is handled now."""
        node = self.nodes[name]
        if node.state is State.PAUSED:
            node.turn(State.RUNNING, self.now)
            self._life(node, "continued")
            for event in node.release():
                self._handle(node, event)

    # -- links

    def cut(self, links: Iterable[Link], cause: str = "") -> None:
        self._links(self.network.cut(links, cause), Kind.BROKEN)

    def mend(self, cause: str) -> None:
        self._links(self.network.mend(cause), Kind.HEALED)

    def mend_links(self, links: Iterable[Link]) -> None:
        self._links(self.network.mend_links(links), Kind.HEALED)

    def forge(self, to: str, source: Address, data: bytes) -> None:
        """A datagram that no process of this world sends now: replayed, or made up."""
        self._push(self.now, self.nodes[to], ANY_LIFE, DatagramReceived(source, data))

    # -- record

    def note(self, kind: Kind, text: str, node: str = "", other: str = "") -> None:
        self.log.append(Entry(self.now, kind, node, text, other))

    def storm(self, cause: str, begins: bool) -> None:
        """A fault begins or ends to work."""
        (self.stormy.add if begins else self.stormy.discard)(cause)
        self.calm_since = self.now

    def calm_for(self) -> float:
        """Since how many ms no fault works."""
        return 0.0 if self.stormy else self.now - self.calm_since

    # -- inside

    def _push(self, when: float, node: Node | None, life: int, event: Any) -> None:
        self._pushed += 1
        heapq.heappush(self._queue, (when, self._pushed, node, life, event))

    def _life(self, node: Node, text: str) -> None:
        self.topology += 1
        self.note(Kind.LIFE, text, node.name)

    def _links(self, links: list[Link], kind: Kind) -> None:
        self.topology += 1
        for source, target in links:
            self.link_since[source, target] = self.now
            self.note(kind, "cut" if kind is Kind.BROKEN else "healed", source, target)

    def _handle(self, node: Node, event: Any) -> None:
        self.steps += 1
        self._look_for_spin(node)
        if node.machine is None:
            return
        try:
            actions = node.machine.handle(node.local(self.now), event)
        except Exception as error:  # any error of a machine is its fault, and ends the run with its story
            where = traceback.extract_tb(error.__traceback__)[-1]
            why = f"{type(error).__name__}: {error} ({where.name}, line {where.lineno})"
            raise Violation("raised", self.now, node.name, why) from error
        for action in actions:
            self._act(node, action)
        for invariant in self._invariants:
            why_not = invariant.check(self, node)
            if why_not is not None:
                raise Violation(invariant.name, self.now, node.name, why_not)

    def _look_for_spin(self, node: Node) -> None:
        if self.now > self._spin[0] + 1:
            self._spin = (self.now, self.steps)
        elif self.steps - self._spin[1] > SPIN:
            raise Violation("spins", self.now, node.name, f"{SPIN} steps within a ms")

    def _act(self, node: Node, action: Any) -> None:
        kind = type(action)
        if kind is SendDatagram:
            self._send(node, action)
        elif kind is SetTimer:
            if not (math.isfinite(action.in_ms) and action.in_ms >= 0):
                raise Violation("timer", self.now, node.name, f"a timer in {action.in_ms} ms")
            when = node.due(self.now, action.in_ms)
            self._push(when, node, node.incarnation, TimerFired(action.token))
        elif kind is Notice:
            self.note(Kind.TOLD, told_text(action), node.name)
            for listener in self.listeners:
                listener(node, action)
        elif kind in self._carry:
            self._carry[kind](self, node, action)
        else:
            raise Violation("action", self.now, node.name, f"no one carries out {kind.__name__}")

    def _send(self, node: Node, send: SendDatagram) -> None:
        if len(send.data) > LARGEST:
            raise Violation("size", self.now, node.name, f"a datagram of {len(send.data)} bytes")
        node.sent += 1
        node.sent_bytes += len(send.data)
        target = self._by_address.get(send.to)
        if target is None:
            return
        delays = self.network.fates((node.name, target.name), node.fate)
        self.network.tape(node.name, Taped(node.address, target.name, send.data))
        if self._describe is not None:
            text = self._describe(send.data)
            if text:
                self.note(Kind.SENT if delays else Kind.LOST, text, node.name, target.name)
        for delay in delays:
            self._push(self.now + delay, target, ANY_LIFE, DatagramReceived(node.address, send.data))


def address_of(index: int) -> Address:
    """Where the node of that place among the names listens."""
    return f"10.{index >> 16}.{(index >> 8) & 255}.{index & 255}", 7000
