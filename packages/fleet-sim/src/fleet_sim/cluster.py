"""A cluster of state machines on one simulated clock and network.

A run is determined by the seed, the names, the factory and the scheduled callbacks: no other source of random
numbers is used, and no order depends on hashing.
"""

from __future__ import annotations

import heapq
import math
import traceback
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol

from sansio_core import (
    MAX_DATAGRAM_BYTES,
    Address,
    DatagramReceived,
    Notice,
    SendDatagram,
    SetTimer,
    ShutdownRequested,
    Started,
    TimerFired,
)

from .network import Link, LinkQuality, Network, RecordedDatagram
from .node import MachineFactory, Node, ProcessState
from .trace import EntryKind, TraceEntry, notice_text
from .violations import InvariantViolationError

# Maximum number of steps within a simulated ms; only a state machine with a busy loop exceeds it.
MAX_STEPS_PER_MS = 100_000

# The UDP port of every node; the addresses of nodes differ in their hosts.
PORT = 7000

# Carries out an action whose type is not defined in ``sansio_core``.
ActionHandler = Callable[["SimulatedCluster", Node, Any], None]

# Describes a datagram in a few words for the trace; returns an empty string for those not to be shown.
MessageDescriber = Callable[[bytes], str]


class Invariant(Protocol):
    """A condition that must hold after every event; it may keep state for one run."""

    name: str

    def check(self, cluster: SimulatedCluster, node: Node) -> str | None:
        """Return a description of the violation after ``node`` handled an event, or None."""


class _QueuedEvent(NamedTuple):
    """A callback, or an event for a node; ``serial`` is unique and keeps simultaneous events in order.

    ``incarnation`` is set if only that incarnation of the node may handle the event.
    """

    at_ms: float
    serial: int
    node: Node | None
    incarnation: int | None
    event: Any


@dataclass(frozen=True, slots=True)
class ClusterOptions:
    """The network, the invariants and the extensions of a cluster.

    ``base_quality`` None stands for ``LinkQuality()``.  ``describe`` is None if the trace shall not contain
    messages.  ``action_handlers`` carry out actions not defined in ``sansio_core``, by action type.
    """

    base_quality: LinkQuality | None = None
    invariants: Iterable[Invariant] = ()
    describe: MessageDescriber | None = None
    action_handlers: Mapping[type, ActionHandler] = field(default_factory=dict)


class SimulatedCluster:
    """A simulated cluster: its event queue, and the operations used by faults and scenarios.

    ``topology_version`` increases with every change of a link or a process; ``link_changed_ms`` holds the
    time at which each link was last cut or healed; ``active_faults`` are the causes of the faults in effect.
    """

    def __init__(
        self, seed: int, names: Iterable[str], factory: MachineFactory, options: ClusterOptions
    ) -> None:
        self.seed = seed
        self.now = 0.0
        self.steps = 0
        self.network = Network(options.base_quality)
        self.nodes = {name: Node(name, address_of(index), seed) for index, name in enumerate(names)}
        self.trace: list[TraceEntry] = []
        self.listeners: list[Callable[[Node, Notice], None]] = []
        self.topology_version = 0
        self.link_changed_ms: dict[Link, float] = {}
        self.active_faults: set[str] = set()
        self._factory = factory
        self._describe = options.describe
        self._action_handlers = dict(options.action_handlers)
        self._invariants = tuple(options.invariants)
        self._node_at = {node.address: node for node in self.nodes.values()}
        self._queue: list[_QueuedEvent] = []
        self._serial = 0
        self._steps_counted_from_ms = 0.0
        self._steps_before = 0

    # -- time

    def schedule(self, at_ms: float, callback: Callable[[], None]) -> None:
        """Call back at a simulated time, before events with the same time that are queued later."""
        self._push(at_ms, None, None, callback)

    def run_until(self, until_ms: float) -> None:
        """Handle all events that are due up to ``until_ms``.

        Raises InvariantViolationError.
        """
        queue = self._queue
        while queue and queue[0].at_ms <= until_ms:
            self.now, _, node, incarnation, event = heapq.heappop(queue)
            if node is None:
                event()
            elif incarnation is None or incarnation == node.incarnation:
                self.deliver(node, event)
        self.now = until_ms

    def deliver(self, node: Node, event: Any) -> None:
        """Deliver an event now; it is queued if the process is paused, and dropped if it is down."""
        if node.state is ProcessState.RUNNING:
            self._handle(node, event)
        elif node.state is ProcessState.PAUSED:
            node.enqueue(event)

    # -- processes

    def start(self, name: str) -> None:
        """Start a process that is down."""
        node = self.nodes[name]
        if node.state is ProcessState.DOWN:
            node.start(self.now, self._factory)
            self._process_changed(node, f"started ({node.incarnation})")
            self._handle(node, Started())

    def kill(self, name: str, cause: str = "", keep_disk: bool = True) -> None:
        """End a process immediately, as ``kill -9`` does."""
        node = self.nodes[name]
        if node.state is not ProcessState.DOWN:
            node.stop(self.now, cause, keep_disk)
            self._process_changed(node, "killed" if keep_disk else "killed, disk lost")

    def leave(self, name: str, cause: str = "") -> None:
        """Shut down a running process gracefully."""
        node = self.nodes[name]
        if node.is_running:
            self.record(EntryKind.FAULT, "asked to leave", name)
            self._handle(node, ShutdownRequested())
            node.stop(self.now, cause, keep_disk=True)
            self._process_changed(node, "ended")

    def pause(self, name: str) -> None:
        """Pause a running process."""
        node = self.nodes[name]
        if node.is_running:
            node.set_state(ProcessState.PAUSED, self.now)
            self._process_changed(node, "paused")

    def resume(self, name: str) -> None:
        """Continue a paused process, which then handles its queued events."""
        node = self.nodes[name]
        if node.state is ProcessState.PAUSED:
            node.set_state(ProcessState.RUNNING, self.now)
            self._process_changed(node, "continued")
            for event in node.dequeue_all():
                self._handle(node, event)

    # -- links

    def cut(self, links: Iterable[Link], cause: str = "") -> None:
        """Cut links for a cause."""
        self._links_changed(self.network.cut(links, cause), EntryKind.LINK_CUT)

    def heal(self, cause: str) -> None:
        """Heal the links that were cut for a cause and for no other."""
        self._links_changed(self.network.heal(cause), EntryKind.LINK_HEALED)

    def heal_links(self, links: Iterable[Link]) -> None:
        """Heal these links, whatever the causes for which they were cut."""
        self._links_changed(self.network.heal_links(links), EntryKind.LINK_HEALED)

    def inject(self, target: str, source: Address, data: bytes) -> None:
        """Deliver a replayed or forged datagram to ``target`` as if it came from ``source``."""
        self._push(self.now, self.nodes[target], None, DatagramReceived(source, data))

    # -- trace

    def record(self, kind: EntryKind, text: str, node: str = "", peer: str = "") -> None:
        """Add an entry to the trace."""
        self.trace.append(TraceEntry(self.now, kind, node, text, peer))

    # -- internals

    def _push(self, at_ms: float, node: Node | None, incarnation: int | None, event: Any) -> None:
        self._serial += 1
        heapq.heappush(self._queue, _QueuedEvent(at_ms, self._serial, node, incarnation, event))

    def _process_changed(self, node: Node, text: str) -> None:
        self.topology_version += 1
        self.record(EntryKind.PROCESS, text, node.name)

    def _links_changed(self, links: list[Link], kind: EntryKind) -> None:
        self.topology_version += 1
        for source, target in links:
            self.link_changed_ms[source, target] = self.now
            self.record(kind, "cut" if kind is EntryKind.LINK_CUT else "healed", source, target)

    def _handle(self, node: Node, event: Any) -> None:
        self.steps += 1
        self._check_progress(node)
        if node.machine is None:
            return
        try:
            actions = node.machine.handle(node.monotonic_ms(self.now), event)
        except Exception as error:  # a state machine must not raise: the run ends as a violation
            frame = traceback.extract_tb(error.__traceback__)[-1]
            reason = f"{type(error).__name__}: {error} ({frame.name}, line {frame.lineno})"
            raise self._violation("raised", node, reason) from error
        for action in actions:
            self.carry_out(node, action)
        for invariant in self._invariants:
            violation = invariant.check(self, node)
            if violation is not None:
                raise self._violation(invariant.name, node, violation)

    def _check_progress(self, node: Node) -> None:
        if self.now > self._steps_counted_from_ms + 1:
            self._steps_counted_from_ms = self.now
            self._steps_before = self.steps
        elif self.steps - self._steps_before > MAX_STEPS_PER_MS:
            raise self._violation("busy-loop", node, f"more than {MAX_STEPS_PER_MS} steps within 1 ms")

    def carry_out(self, node: Node, action: Any) -> None:
        """Carry out an action of a node's state machine.

        Raises InvariantViolationError if it is invalid.
        """
        kind = type(action)
        if kind is SendDatagram:
            self._send(node, action)
        elif kind is SetTimer:
            self._set_timer(node, action)
        elif kind is Notice:
            self.record(EntryKind.NOTICE, notice_text(action), node.name)
            for listener in self.listeners:
                listener(node, action)
        elif kind in self._action_handlers:
            self._action_handlers[kind](self, node, action)
        else:
            raise self._violation("action", node, f"no handler for the action {kind.__name__}")

    def _set_timer(self, node: Node, timer: SetTimer) -> None:
        if not (math.isfinite(timer.in_ms) and timer.in_ms >= 0):
            raise self._violation("timer", node, f"invalid timer delay: {timer.in_ms} ms")
        due_ms = node.timer_due_ms(self.now, timer.in_ms)
        self._push(due_ms, node, node.incarnation, TimerFired(timer.token))

    def _send(self, node: Node, send: SendDatagram) -> None:
        if len(send.data) > MAX_DATAGRAM_BYTES:
            raise self._violation("size", node, f"datagram too large: {len(send.data)} bytes")
        node.sent_datagrams += 1
        node.sent_bytes += len(send.data)
        target = self._node_at.get(send.to)
        if target is None:
            return
        delays_ms = self.network.delivery_delays_ms((node.name, target.name), node.random)
        self.network.record(node.name, RecordedDatagram(node.address, target.name, send.data))
        text = self._describe(send.data) if self._describe is not None else ""
        if text:
            self.record(EntryKind.SENT if delays_ms else EntryKind.LOST, text, node.name, target.name)
        for delay_ms in delays_ms:
            self._push(self.now + delay_ms, target, None, DatagramReceived(node.address, send.data))

    def _violation(self, check: str, node: Node, reason: str) -> InvariantViolationError:
        return InvariantViolationError(check, self.now, node.name, reason)


def address_of(index: int) -> Address:
    """Return the address of the node with this index in the list of names."""
    return f"10.{index >> 16}.{(index >> 8) & 255}.{index & 255}", PORT
