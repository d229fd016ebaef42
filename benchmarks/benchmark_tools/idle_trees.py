"""The idle programs of two trees side by side: memory and processor time."""

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
from benchmark_tools.router_program import ROOT, end, start_program, write_config
from benchmark_tools.steady_requests import pause
from benchmark_tools.tables import markdown_head, markdown_row

START_S = 4.0
IDLE_S = 20.0
# More polls than a round has.
MAX_POLLS = 10_000
# The library that parses long answers, as the process's memory map names it.
PARSER_LIBRARY = "yajl"
THIS_TREE = "this"
OTHER_TREE = "other"
COLUMNS = ("tree", "peak MB", "memory MB", "processor ms in 20 s", "the parser of long answers")


@dataclass(frozen=True, slots=True)
class IdleFigures:
    """What an idle program used."""

    resident_mb: float
    cpu_ms: float


@dataclass(frozen=True, slots=True)
class IdleProgram:
    """A program and its discovery."""

    process: subprocess.Popen[bytes]
    discovery: ScriptedDiscovery

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.pid

    def parser_state(self) -> str:
        """Whether the parser of long answers is loaded."""
        maps = Path(f"/proc/{self.pid}/maps").read_text()
        return "loaded" if PARSER_LIBRARY in maps else "not loaded"


def answer_polls_without_events(discovery: ScriptedDiscovery) -> None:
    """Answer each poll after its block time."""

    def step(connection: FakeDiscoveryConnection) -> None:
        resume, block_ms = discovery.polls[-1]
        answer = encode_answer({"cursor": resume, "cmds": []})
        reactor.callLater(block_ms / 1000.0, write_if_connected, connection, answer)

    discovery.script = [step] * MAX_POLLS


def write_if_connected(connection: FakeDiscoveryConnection, answer: bytes) -> None:
    """Write an answer unless the router has left."""
    if not connection.disconnect_cause:
        connection.transport.write(answer)


def start_idle_program(tree: Path, folder: Path, cache_server: str) -> IdleProgram:
    """Start a router of a tree that has nothing to do."""
    discovery = ScriptedDiscovery()
    answer_polls_without_events(discovery)
    channel = f"127.0.0.1:{discovery.address[1]}"
    config = build_config(f"127.0.0.1:{free_port()}", channel, cache_server)
    return IdleProgram(start_program(write_config(folder, config), tree), discovery)


@inlineCallbacks
def measure_side_by_side(trees: dict[str, Path], folder: Path) -> Steps[dict[str, IdleFigures]]:
    """Measure the programs of the trees, started in order, and print a row for each."""
    cache_server = f"127.0.0.1:{listen_on_free_port(reactor, DemoCacheServer)}"
    programs: dict[str, IdleProgram] = {}
    figures: dict[str, IdleFigures] = {}
    try:
        for name, tree in trees.items():
            programs[name] = start_idle_program(tree, folder, cache_server)
        yield pause(START_S)
        cpu_before_ms = {name: main_thread_cpu_ms(program.pid) for name, program in programs.items()}
        yield pause(IDLE_S)
        for name, program in programs.items():
            cpu_ms = main_thread_cpu_ms(program.pid) - cpu_before_ms[name]
            figures[name] = IdleFigures(resident_mb(program.pid), cpu_ms)
            peak_mb = peak_resident_mb(program.pid)
            cells = (f"{peak_mb:.2f}", f"{figures[name].resident_mb:.2f}", f"{cpu_ms:.1f}")
            print(markdown_row((name, *cells, program.parser_state())), flush=True)
    finally:
        end([program.process for program in programs.values()])
        for program in programs.values():
            yield program.discovery.stop()
    return figures


@inlineCallbacks
def compare_idle_trees(other_tree: Path, rounds: int) -> Steps[None]:
    """Print the figures of each round, and the ratio of this tree to the other."""
    print(markdown_head(COLUMNS))
    found: list[dict[str, IdleFigures]] = []
    with tempfile.TemporaryDirectory() as folder:
        for number in range(rounds):
            trees = {THIS_TREE: ROOT, OTHER_TREE: other_tree}
            if number % 2:
                trees = dict(reversed(trees.items()))
            figures = yield measure_side_by_side(trees, Path(folder))
            found.append(figures)
    memory_mb = [
        statistics.mean(figures[tree].resident_mb for figures in found) for tree in (THIS_TREE, OTHER_TREE)
    ]
    cpu_ms = [statistics.mean(figures[tree].cpu_ms for figures in found) for tree in (THIS_TREE, OTHER_TREE)]
    print(
        f"\nthis tree to the other: memory {memory_mb[0] / memory_mb[1]:.3f}, "
        f"processor time {cpu_ms[0] / cpu_ms[1]:.3f}"
    )
