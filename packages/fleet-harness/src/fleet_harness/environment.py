"""The environment of a run: fake servers, the UDP relay, the router processes, and their faults."""

from __future__ import annotations

import shutil
import signal
import tempfile
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

from sansio_core import Address
from twisted.internet.threads import deferToThread

from fleet_harness.event_record import EventRecord
from fleet_harness.participants import Participants
from fleet_harness.router_files import start_fake_servers, write_operators_file, write_platform_config
from fleet_harness.router_process import EXIT_EVENT, RouterProcess
from fleet_harness.udp_relay import UdpRelay
from fleet_harness.waiting import ConditionWaiter
from thornjunction.log_events import LogEvent

# Milliseconds from a signal to the exit; a graceful shutdown takes part of it.
EXIT_TIMEOUT_MS = 10_000.0

# Upper bound on the attempts to start a router: another process may take one of its ports after they were
# drawn, and the router then exits.
MAX_START_ATTEMPTS = 5

# The timeline's text for a process that receives a signal; other signals are recorded as faults.
PROCESS_CHANGES: Mapping[int, str] = {
    signal.SIGKILL: "killed",
    signal.SIGSTOP: "paused",
    signal.SIGCONT: "continued",
}

# Signals after which a process is expected to exit.
FINAL_SIGNALS = (signal.SIGKILL, signal.SIGTERM)


class Environment:
    """The routers of a run, by name; ``stop`` ends everything that was started.

    ``expected_running`` are the routers that have been started and not ended, including paused ones.
    ``on_event`` is called after each log entry of a router.
    """

    def __init__(self, reactor: Any, participants: Participants, seed: int = 1) -> None:
        self.participants = participants
        self.names = participants.names
        self.waiter = ConditionWaiter(reactor)
        started_at_s = reactor.seconds()
        self.events = EventRecord(lambda: float(reactor.seconds() - started_at_s) * 1000.0)
        self.relay = UdpRelay(reactor, seed)
        self.processes: dict[str, RouterProcess] = {}
        self.admin_addresses: dict[str, Address] = {}
        self.expected_running: set[str] = set()
        self.on_event: Callable[[], None] = lambda: None
        self._reactor = reactor
        self._folder = Path(tempfile.mkdtemp(prefix="fleet-harness-"))
        self._start_attempts: dict[str, int] = {}
        self._repeated_calls: list[Any] = []
        self._stopping = False
        for name in self.names:
            self.relay.add_router(name)
        self._discovery_port = start_fake_servers(reactor)

    async def start(self, name: str) -> None:
        """Start a new process, once the previous one has ended; it finds the data of earlier ones."""
        await self.wait_for_exit(name)
        self._start_attempts[name] = 0
        self.expected_running.add(name)
        self._spawn(name)

    async def wait_for_exit(self, name: str) -> None:
        """Wait until a router's last process, if any, has ended; raises NotObservedError on timeout."""
        process = self.processes.get(name)
        if process is not None:
            await self.waiter.wait_until(
                lambda: bool(process.ended.called), EXIT_TIMEOUT_MS, f"the process of {name} has ended"
            )

    def remove_data(self, name: str) -> None:
        """Remove a router's data, as if its disk were lost."""
        shutil.rmtree(self._data_folder(name), ignore_errors=True)

    def truncate_data(self, name: str) -> None:
        """Truncate each data file of a router to half its size, as a crash after an ignored fsync might."""
        for path in self._data_folder(name).iterdir():
            path.write_bytes(path.read_bytes()[: path.stat().st_size // 2])

    def send_signal(self, name: str, number: int) -> None:
        """Send a signal to a router's process, and record it in the timeline."""
        if number in PROCESS_CHANGES:
            self.events.add_process_change(name, PROCESS_CHANGES[number])
        else:
            self.events.add_fault(f"{signal.Signals(number).name} to {name}")
        if number in FINAL_SIGNALS:
            self.expected_running.discard(name)
        self.processes[name].send_signal(number)

    async def wait_for_datagrams(self, count: int, timeout_ms: float) -> None:
        """Wait until ``count`` more datagrams were forwarded; this does not depend on the machine's load."""
        target = self.relay.counters.forwarded + count
        self.relay.on_forwarded = self.waiter.check
        await self.waiter.wait_until(
            lambda: self.relay.counters.forwarded >= target, timeout_ms, f"{count} datagrams are forwarded"
        )
        self.relay.on_forwarded = None

    def set_links_cut(self, links: Sequence[tuple[str, str]], cut: bool) -> None:
        """Cut or heal links; only links that change are recorded."""
        for source, target in links:
            link = self.relay.links[source, target]
            if link.cut is not cut:
                link.cut = cut
                self.events.add_link_change(source, target, cut)

    def call_repeatedly(self, interval_ms: float, callback: Callable[[], None]) -> None:
        """Call now and then after each interval (ms), until ``stop_repeated_calls``."""
        callback()
        self._repeated_calls = [call for call in self._repeated_calls if call.active()]
        next_call = self._reactor.callLater(interval_ms / 1000.0, self.call_repeatedly, interval_ms, callback)
        self._repeated_calls.append(next_call)

    def stop_repeated_calls(self) -> None:
        """Cancel all calls that ``call_repeatedly`` has scheduled."""
        for call in self._repeated_calls:
            if call.active():
                call.cancel()
        self._repeated_calls = []

    async def stop(self) -> None:
        """Kill every process by its id, wait for each, and remove all files."""
        self._stopping = True
        self.stop_repeated_calls()
        self.expected_running.clear()
        self.waiter.abort("stopped")
        for process in self.processes.values():
            process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            if process.pid is not None:
                await process.ended
        await self.relay.stop()
        # In a thread, because a slow disk would otherwise block the UDP relays of all other scenarios.
        await deferToThread(shutil.rmtree, self._folder, True)

    def _data_folder(self, name: str) -> Path:
        return self._folder / name / "data"

    def _spawn(self, name: str) -> None:
        self._start_attempts[name] += 1
        folder = self._folder / name
        folder.mkdir(exist_ok=True)
        self.admin_addresses[name] = write_platform_config(folder, name, self._discovery_port)
        addresses = self.relay.public_addresses
        write_operators_file(
            folder,
            addresses[name],
            [addresses[seed] for seed in self.participants.seeds(name)],
            self.participants.secret(name),
            self.participants.fleet_settings(name),
        )
        self.events.add_start(name)
        process = RouterProcess(name, self._on_log)
        self.processes[name] = process
        process.start(self._reactor, folder / "config.json", folder / "extras.toml")

    def _on_log(self, name: str, event: str, fields: Mapping[str, Any]) -> None:
        self.events.add_log_entry(name, event, fields)
        self.on_event()
        if event == LogEvent.FLEET_LISTENING:
            self.relay.set_router_address(name, ("127.0.0.1", int(fields["port"])))
        elif event == EXIT_EVENT:
            self._on_exit(name)
        self.waiter.check()

    def _on_exit(self, name: str) -> None:
        self.relay.remove_router_address(name)
        self.events.add_process_change(name, "ended")
        if self._can_start_again(name):
            self._spawn(name)
        elif name in self.expected_running:
            self.expected_running.discard(name)
            self.waiter.abort(f"{name} exited unexpectedly")

    def _can_start_again(self, name: str) -> bool:
        """Return whether a router exited because a port was taken, and has start attempts left."""
        port_taken = LogEvent.LISTEN_FAILED in self.events.views[name].events
        return port_taken and self._start_attempts[name] < MAX_START_ATTEMPTS and not self._stopping
