"""What catching up costs a router: the real program, an hour (122,400 events) behind, before stand-in shelfs
and a stand-in discovery on loopback, under a steady load of requests.

``PYTHONPATH=. python benchmarks/catch_up.py [ROUNDS]`` prints a Markdown table: each round is one process
that serves quietly first and then hears that it is behind, and one that never is.
``PYTHONPATH=. python benchmarks/catch_up.py --idle OTHER_TREE [ROUNDS]`` compares the idle program of this
tree with that of another: memory and processor time, both at once.

Bounded: ROUNDS (default 3), under 60 s each, 200 requests a second; one process or two at a time."""

from __future__ import annotations

import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from fakes.clients import FastCgiClient, encode_fastcgi_request
from fakes.config import free_port, platform_config
from fakes.config import listen_on_free_port as listen_at
from fakes.demo_servers import DemoCacheServer
from fakes.event_loop import wait_until
from fakes.fake_discovery import FakeDiscoveryConnection, ScriptedDiscovery, hold_poll
from fakes.watch_messages import encode_answer
from twisted.internet import reactor, task
from twisted.internet.defer import inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint

from thornjunction.net.event_loop.transport import BuildFactory

ROOT = Path(__file__).resolve().parent.parent
BEHIND, SHELVES, CHANGES = 122_400, 440, 28  # an hour's purges, the fleet, an hour's changes of the list
PACE_S, QUIET_S, IDLE_S, LIMIT_S = 0.005, 3.0, 20.0, 15.0
LONG_TURN_S = 0.002  # what the launched program keeps of its turns

LAUNCH = """
import atexit, json, os, sys, time
from thornjunction.net.event_loop.reactor import install
reactor = install()
class Poller:
    def __init__(self, inner): self.inner, self.since, self.turns = inner, None, []
    def __getattr__(self, name): return getattr(self.inner, name)
    def poll(self, *args):
        if self.since is not None:
            now, cpu = time.monotonic(), time.thread_time()
            if now - self.since[0] > LONG and len(self.turns) < 100_000:
                self.turns.append((self.since[0], now - self.since[0], cpu - self.since[1]))
        told = self.inner.poll(*args)
        self.since = time.monotonic(), time.thread_time()
        return told
reactor._poller = poller = Poller(reactor._poller)
atexit.register(lambda: print(json.dumps(poller.turns), flush=True))
from thornjunction.program import run_program
sys.exit(run_program(os.environ))
"""


def shelf(number: int, at: str, **more: Any) -> dict[str, Any]:
    place = {"dial": at, "site": "demo" if number < 20 else "hub", "class": "box", "health": "active"}
    return place | {"host": f"s{number}", "share": 4} | more


def backlog(first: int, at: str) -> bytes:
    """An hour of events behind ``first``, the last ten seconds of them with purges that still hold."""
    last, now_ms = first + BEHIND, time.time() * 1000.0
    events: list[dict[str, Any]] = []
    for number in range(first + 1, last + 1):
        when = int(now_ms - (last - number) * 3_600_000.0 / BEHIND)
        events.append({"cursor": number, "drop": {"id": f"{number * 7919:016x}", "when": when}})
    for place in range(CHANGES):
        number = (place + 1) * BEHIND // (CHANGES + 1)
        changed = shelf(100 + place, at, health="leaving")
        events[number] = {"cursor": first + 1 + number, "nodes": {"seq": 2 + place, "hosts": [changed]}}
    return encode_answer({"cursor": last, "cmds": events})


class Program:
    """The program, on a configuration of its own; ``timed`` keeps its turns."""

    def __init__(self, folder: str, channel: str, shelf_at: str, timed: bool, tree: Path = ROOT) -> None:
        self.listen = f"127.0.0.1:{free_port()}"
        config = platform_config(self.listen, channel, shelf_at, 3000.0)
        hosts = [shelf(number, shelf_at) for number in range(SHELVES)]
        config["known"]["cmds"][0]["nodes"]["hosts"] += hosts
        config["limits"]["sockets"] = 900
        config["settings"]["specifics"]["purgeTakesMs"] = 5600.0
        path = Path(folder) / f"{time.monotonic_ns()}.json"
        path.write_text(json.dumps(config))
        code = ["-c", LAUNCH.replace("LONG", str(LONG_TURN_S))] if timed else ["-m", "thornjunction"]
        env = os.environ | {"PROXY_CONFIG": str(path)}
        env.pop("PYTHONPATH", None)
        self.process = subprocess.Popen(
            [sys.executable, *code], env=env, cwd=tree, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
        )

    def proc(self, name: str) -> str:
        return Path(f"/proc/{self.process.pid}/{name}").read_text()

    def memory_mb(self, line: str) -> float:
        return float(self.proc("status").split(line + ":")[1].split()[0]) / 1024.0

    def used_ms(self) -> float:
        return float(self.proc("schedstat").split()[0]) / 1e6

    def end(self) -> list[list[float]]:
        """Its turns, where it was to keep them."""
        self.process.terminate()
        try:
            told, _ = self.process.communicate(timeout=10)
        finally:
            self.process.kill()
        return json.loads(told) if told.strip() else []


class Load:
    """Requests at a steady pace; ``spent`` holds when each was sent and how long it took."""

    def __init__(self, client: FastCgiClient) -> None:
        self.client, self.sent, self.spent, self.ends = client, {}, [], 0  # type: ignore[var-annotated]
        client._notify_waiters = self.heard  # type: ignore[method-assign]
        self.loop = task.LoopingCall(self.ask)
        self.loop.start(PACE_S)

    def ask(self) -> None:
        ident = len(self.sent) % 60_000 + 1
        params = {"SCRIPT_NAME": "/do/clips", "HTTP_X_ROW": f"{ident:016x}", "HTTP_X_TTL_MS": "3000"}
        params |= {"HTTP_X_TXN": f"{ident:016x}", "HTTP_X_WORKING_SET_KB": "12"}
        self.sent[ident] = time.monotonic()
        self.client.transport.write(encode_fastcgi_request(ident, params))

    def heard(self) -> None:
        for record in self.client.end_records():
            start = self.sent[record.request_id]
            self.spent.append((start, time.monotonic() - start))
        self.client.records.clear()

    def between(self, start: float, end: float) -> list[float]:
        return [spent for sent, spent in self.spent if start <= sent < end]


@inlineCallbacks
def load_at(listen: str) -> Any:
    """A client that is connected as soon as somebody listens there."""
    port = int(listen.partition(":")[2])
    for _ in range(500):
        try:
            endpoint: Any = TCP4ClientEndpoint(reactor, "127.0.0.1", port)
            client = yield endpoint.connect(BuildFactory(FastCgiClient))
        except Exception:
            yield task.deferLater(reactor, 0.02, lambda: None)
        else:
            return Load(client)
    raise AssertionError("never listened")


@inlineCallbacks
def one_round(folder: str, behind: bool) -> Any:
    """Figures of one process: quiet, and then behind or quiet for as long."""
    discovery, shelf_at = ScriptedDiscovery(), f"127.0.0.1:{listen_at(reactor, DemoCacheServer)}"
    channel = f"127.0.0.1:{discovery.address[1]}"
    discovery.script = [
        lambda link: link.transport.write(encode_answer({"cursor": 1, "cmds": []})),
        hold_poll,
    ]
    program = Program(folder, channel, shelf_at, timed=True)
    try:
        load = yield load_at(program.listen)
        yield task.deferLater(reactor, 1.0, lambda: None)  # warm
        quiet = time.monotonic()
        yield task.deferLater(reactor, QUIET_S, lambda: None)
        told = backlog(1, shelf_at)
        start = time.monotonic()
        if behind:
            tell(discovery, told)
            yield wait_until(
                lambda: discovery.polls[-1][0] == 1 + BEHIND or time.monotonic() > start + LIMIT_S
            )
            if discovery.polls[-1][0] != 1 + BEHIND:
                raise AssertionError(f"not in step: {discovery.polls[-3:]}")
        else:
            yield task.deferLater(reactor, 2.0, lambda: None)
        end, peak = time.monotonic(), program.memory_mb("VmHWM")
        load.loop.stop()
        yield task.deferLater(reactor, 0.3, lambda: None)
        asked = len(load.sent)
        load.client.transport.loseConnection()
    finally:
        turns = program.end()
        yield discovery.stop()
    inside = [(wall, cpu) for at, wall, cpu in turns if start <= at < end]
    return {
        "s": end - start,
        "peak": peak,
        "turn": max((wall for wall, _ in inside), default=0.0),
        "turn_cpu": max((cpu for _, cpu in inside), default=0.0),
        "over": sum(wall > 0.02 for wall, _ in inside),
        "quiet": load.between(quiet, quiet + QUIET_S),
        "meanwhile": load.between(start, end),
        "unanswered": asked - len(load.spent),
    }


def tell(discovery: ScriptedDiscovery, told: bytes) -> None:
    """Answer the poll that is held, or the next one."""

    def step(link: FakeDiscoveryConnection) -> None:
        discovery.script[:] = [hold_poll] * 999
        link.transport.write(told)

    discovery.script[:] = [step]
    live = [link for link in discovery.connections if not link.disconnect_cause]
    live[-1].transport.abortConnection()  # the cut's end: the router polls again


def cut(spent: list[float], percent: int) -> float:
    return statistics.quantiles(spent, n=100)[percent - 1] * 1000.0


@inlineCallbacks
def measure(rounds: int) -> Any:
    print("| process | in step after s | peak MB | longest turn ms (processor) | turns over 20 ms |", end="")
    print(" p50 ms quiet / meanwhile | p99 | requests meanwhile | unanswered |\n" + "|---" * 9 + "|")
    with tempfile.TemporaryDirectory() as folder:
        for _ in range(rounds):
            for behind in (False, True):
                told = yield one_round(folder, behind)
                quiet, meanwhile = told["quiet"], told["meanwhile"]
                print(
                    f"| {'behind' if behind else 'not behind'} | {told['s']:.2f} | {told['peak']:.1f} "
                    f"| {told['turn'] * 1e3:.1f} ({told['turn_cpu'] * 1e3:.1f}) | {told['over']} "
                    f"| {cut(quiet, 50):.2f} / {cut(meanwhile, 50):.2f} "
                    f"| {cut(quiet, 99):.1f} / {cut(meanwhile, 99):.1f} "
                    f"| {len(meanwhile)} | {told['unanswered']} |",
                    flush=True,
                )


@inlineCallbacks
def idle(other: Path, rounds: int) -> Any:
    """The idle program of the two trees at once, side by side."""
    print(
        "| tree | peak MB | memory MB | processor ms in 20 s | the parser of long answers |\n"
        + "|---" * 5
        + "|"
    )
    figures: dict[str, list[tuple[float, float]]] = {"other": [], "this": []}
    with tempfile.TemporaryDirectory() as folder:
        for number in range(rounds):
            names = ("other", "this") if number % 2 else ("this", "other")
            discoveries = {name: ScriptedDiscovery() for name in names}
            shelf_at, programs = f"127.0.0.1:{listen_at(reactor, DemoCacheServer)}", {}
            try:
                for name in names:
                    at = f"127.0.0.1:{discoveries[name].address[1]}"
                    keep_polling(discoveries[name])
                    tree = ROOT if name == "this" else other
                    programs[name] = Program(folder, at, shelf_at, timed=False, tree=tree)
                yield task.deferLater(reactor, 4.0, lambda: None)
                before = {name: programs[name].used_ms() for name in names}
                yield task.deferLater(reactor, IDLE_S, lambda: None)
                for name in names:
                    one, used = programs[name], programs[name].used_ms() - before[name]
                    resident = one.memory_mb("VmRSS")
                    figures[name].append((resident, used))
                    mapped = "loaded" if "yajl" in one.proc("maps") else "not loaded"
                    print(
                        f"| {name} | {one.memory_mb('VmHWM'):.2f} | {resident:.2f} | {used:.1f} | {mapped} |"
                    )
            finally:
                for program in programs.values():
                    program.end()
                for discovery in discoveries.values():
                    yield discovery.stop()
    ratios = [
        statistics.mean(one[place] for one in figures["this"])
        / statistics.mean(one[place] for one in figures["other"])
        for place in (0, 1)
    ]
    print(f"\nthis tree to the other: memory {ratios[0]:.3f}, processor time {ratios[1]:.3f}")


def keep_polling(discovery: ScriptedDiscovery) -> None:
    """Answer each poll after its block time with nothing new."""

    def step(link: FakeDiscoveryConnection) -> None:
        resume, block = discovery.polls[-1]
        told = encode_answer({"cursor": resume, "cmds": []})
        reactor.callLater(block / 1000.0, lambda: link.disconnect_cause or link.transport.write(told))  # type: ignore[attr-defined]

    discovery.script = [step] * 10_000


def main() -> None:
    words = sys.argv[1:]
    if words[:1] == ["--idle"]:
        rounds = int(words[2]) if len(words) > 2 else 3
        task.react(lambda _: idle(Path(words[1]).resolve(), rounds))
    task.react(lambda _: measure(int(words[0]) if words else 3))


if __name__ == "__main__":
    main()
