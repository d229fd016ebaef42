"""A simulated process: its state machine, clock and disk, and the events queued while it is paused."""

from __future__ import annotations

import random
from collections.abc import Callable
from enum import Enum
from typing import Any

from sansio_core import Address, DatagramReceived, RandomSource, StateMachine

# The data that survive a kill, unless the disk is lost as well: then the process starts with an empty one.
Disk = dict[str, Any]

# Makes a process's state machine: ``(name, address, incarnation, random, disk)``.
MachineFactory = Callable[[str, Address, int, RandomSource, Disk], StateMachine[Any, Any]]

# Maximum number of datagrams queued for a paused process; further ones are lost, as with a full socket
# buffer.
MAX_WAITING_DATAGRAMS = 128

# Maximum relative difference between the rate of a node's clock and that of simulated time.
MAX_CLOCK_DRIFT = 5e-4

# Minimum delay of a timer, since a process takes time for its work.
MIN_TIMER_MS = 0.05

# Upper bound of the value of a process's monotonic clock at its start.
MAX_INITIAL_CLOCK_MS = 1e6


class ProcessState(Enum):
    """The state of a simulated process."""

    DOWN = "down"
    RUNNING = "running"
    PAUSED = "paused"


class Node:
    """One name and address, with all successive incarnations of its process.

    ``stopped_by`` is the cause of the fault that ended the process, or empty.  ``timer_delays_ms`` holds the
    upper bounds of the lateness of timers, by cause.  ``random`` decides the loss, duplication and delay of
    the datagrams that the node sends, its clock, the lateness of its timers, and the order of events after a
    pause; the state machine of each incarnation has its own random source.
    """

    def __init__(self, name: str, address: Address, seed: int) -> None:
        self.name = name
        self.address = address
        self.state = ProcessState.DOWN
        self.state_changed_ms = 0.0
        self.incarnation = 0
        self.machine: StateMachine[Any, Any] | None = None
        self.disk: Disk = {}
        self.stopped_by = ""
        self.timer_delays_ms: dict[str, float] = {}
        self.sent_datagrams = 0
        self.sent_bytes = 0
        self.random: RandomSource = random.Random(f"{seed}/{name}/fate").random
        self._waiting: list[Any] = []
        self._waiting_datagrams = 0
        self._seed = seed
        self._clock_zero_ms = 0.0
        self._clock_rate = 1.0

    @property
    def is_running(self) -> bool:
        """Whether the process is neither down nor paused."""
        return self.state is ProcessState.RUNNING

    def start(self, now: float, factory: MachineFactory) -> None:
        """Start the next incarnation, with a new clock and random source."""
        self.incarnation += 1
        machine_random = random.Random(f"{self._seed}/{self.name}/{self.incarnation}").random
        self._clock_zero_ms = now - MAX_INITIAL_CLOCK_MS * self.random()
        self._clock_rate = 1 + MAX_CLOCK_DRIFT * (2 * self.random() - 1)
        self.machine = factory(self.name, self.address, self.incarnation, machine_random, self.disk)
        self.stopped_by = ""
        self.set_state(ProcessState.RUNNING, now)

    def stop(self, now: float, cause: str, keep_disk: bool) -> None:
        """End the process, and clear its disk unless ``keep_disk`` is set."""
        self.machine = None
        self.stopped_by = cause
        self._waiting = []
        self._waiting_datagrams = 0
        if not keep_disk:
            self.disk = {}
        self.set_state(ProcessState.DOWN, now)

    def set_state(self, state: ProcessState, now: float) -> None:
        """Change the state at simulated time ``now``."""
        self.state = state
        self.state_changed_ms = now

    def monotonic_ms(self, now: float) -> float:
        """Return the time on the node's monotonic clock, whose origin and rate differ from simulated time."""
        return (now - self._clock_zero_ms) * self._clock_rate

    def timer_due_ms(self, now: float, in_ms: float) -> float:
        """Return the simulated time at which a timer set now for ``in_ms`` on the node's clock fires."""
        due_ms = now + max(in_ms, MIN_TIMER_MS) / self._clock_rate
        max_delay_ms = max(self.timer_delays_ms.values(), default=0.0)
        if max_delay_ms:
            due_ms += max_delay_ms * self.random()
        return due_ms

    def enqueue(self, event: Any) -> None:
        """Queue an event until the process continues; a datagram is dropped if the queue is full."""
        if isinstance(event, DatagramReceived):
            if self._waiting_datagrams >= MAX_WAITING_DATAGRAMS:
                return
            self._waiting_datagrams += 1
        self._waiting.append(event)

    def dequeue_all(self) -> list[Any]:
        """Remove and return the queued events; whether datagrams or the other events come first is random."""
        waiting = self._waiting
        self._waiting = []
        self._waiting_datagrams = 0
        timers_first = self.random() < 0.5
        return sorted(waiting, key=lambda event: isinstance(event, DatagramReceived) is timers_first)
