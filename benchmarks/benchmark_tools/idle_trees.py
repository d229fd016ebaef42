"""Compares memory and CPU time of two source trees' idle routers, which run at the same time."""

from __future__ import annotations

import statistics
import subprocess
import tempfile
from dataclasses import dataclass
from pathlib import Path

from fakes.config import free_port, listen_on_free_port
from fakes.demo_servers import DemoCacheServer
from fakes.event_loop import Steps, reactor
from fakes.fake_discovery import FakeDiscoveryConnection, ScriptedDiscovery
from fakes.watch_messages import encode_answer
from twisted.internet.defer import inlineCallbacks

from benchmark_tools.catch_up_files import build_config
from benchmark_tools.process_figures import main_thread_cpu_ms, peak_resident_mb, resident_mb
from benchmark_tools.router_program import ROOT, kill_all, start_program, write_config
from benchmark_tools.steady_requests import pause
from benchmark_tools.tables import markdown_head, markdown_row

STARTUP_S = 4.0
IDLE_S = 20.0
# Greater than the number of polls in a round.
MAX_POLLS = 10_000
# The JSON library that parses long responses, as it appears in the process's memory map.
PARSER_LIBRARY = "yajl"
THIS_TREE = "this"
OTHER_TREE = "other"
COLUMNS = ("tree", "peak MB", "memory MB", "CPU ms in 20 s", "parser of long responses")


@dataclass(frozen=True, slots=True)
class IdleUsage:
    """Resident memory of an idle router, and its CPU time over ``IDLE_S``."""

    resident_mb: float
    cpu_ms: float


@dataclass(frozen=True, slots=True)
class IdleProgram:
    """A router process and the fake discovery that it polls."""

    process: subprocess.Popen[bytes]
    discovery: ScriptedDiscovery

    @property
    def pid(self) -> int:
        """The id of the router process."""
        return self.process.pid

    def parser_state(self) -> str:
        """Return "loaded" if the process has loaded the parser of long responses, else "not loaded"."""
        maps = Path(f"/proc/{self.pid}/maps").read_text()
        return "loaded" if PARSER_LIBRARY in maps else "not loaded"


def answer_polls_without_events(discovery: ScriptedDiscovery) -> None:
    """Answer each poll with no events when its block time ends."""

    def step(connection: FakeDiscoveryConnection) -> None:
        cursor, block_ms = discovery.polls[-1]
        answer = encode_answer({"cursor": cursor, "cmds": []})
        reactor.callLater(block_ms / 1000.0, write_if_connected, connection, answer)

    discovery.script = [step] * MAX_POLLS


def write_if_connected(connection: FakeDiscoveryConnection, answer: bytes) -> None:
    """Write a response unless the router has closed the connection."""
    if not connection.disconnect_cause:
        connection.transport.write(answer)


def start_idle_program(tree: Path, folder: Path, cache_server: str) -> IdleProgram:
    """Start the router of a source tree, with a discovery that publishes no events."""
    discovery = ScriptedDiscovery()
    answer_polls_without_events(discovery)
    channel = f"127.0.0.1:{discovery.address[1]}"
    config = build_config(f"127.0.0.1:{free_port()}", channel, cache_server)
    return IdleProgram(start_program(write_config(folder, config), tree), discovery)


@inlineCallbacks
def measure_side_by_side(trees: dict[str, Path], folder: Path) -> Steps[dict[str, IdleUsage]]:
    """Measure the routers of the trees, started in the given order, and print a row for each."""
    cache_server = f"127.0.0.1:{listen_on_free_port(reactor, DemoCacheServer)}"
    programs: dict[str, IdleProgram] = {}
    figures: dict[str, IdleUsage] = {}
    try:
        for name, tree in trees.items():
            programs[name] = start_idle_program(tree, folder, cache_server)
        yield pause(STARTUP_S)
        cpu_before_ms = {name: main_thread_cpu_ms(program.pid) for name, program in programs.items()}
        yield pause(IDLE_S)
        for name, program in programs.items():
            cpu_ms = main_thread_cpu_ms(program.pid) - cpu_before_ms[name]
            figures[name] = IdleUsage(resident_mb(program.pid), cpu_ms)
            peak_mb = peak_resident_mb(program.pid)
            cells = (f"{peak_mb:.2f}", f"{figures[name].resident_mb:.2f}", f"{cpu_ms:.1f}")
            print(markdown_row((name, *cells, program.parser_state())), flush=True)
    finally:
        kill_all([program.process for program in programs.values()])
        for program in programs.values():
            yield program.discovery.stop()
    return figures


@inlineCallbacks
def compare_idle_trees(other_tree: Path, rounds: int) -> Steps[None]:
    """Print the figures of each round, and the ratio of the means of this tree to the other's."""
    print(markdown_head(COLUMNS))
    rounds_usage: list[dict[str, IdleUsage]] = []
    with tempfile.TemporaryDirectory() as folder:
        for number in range(rounds):
            trees = {THIS_TREE: ROOT, OTHER_TREE: other_tree}
            if number % 2:
                trees = dict(reversed(trees.items()))
            figures = yield measure_side_by_side(trees, Path(folder))
            rounds_usage.append(figures)
    memory_mb = [
        statistics.mean(figures[tree].resident_mb for figures in rounds_usage)
        for tree in (THIS_TREE, OTHER_TREE)
    ]
    cpu_ms = [
        statistics.mean(figures[tree].cpu_ms for figures in rounds_usage) for tree in (THIS_TREE, OTHER_TREE)
    ]
    print(
        f"\nratio of this tree to the other: memory {memory_mb[0] / memory_mb[1]:.3f}, "
        f"CPU time {cpu_ms[0] / cpu_ms[1]:.3f}"
    )
