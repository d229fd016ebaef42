"""The platform: starts routers by the command of the deploy file, and ends all that it started."""

from __future__ import annotations

import asyncio
import copy
import json
import os
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins.discovery import Discovery
from standins.fastcgi import is_taken_in
from standins.record import Record
from standins.settings import SERVERS, SETTINGS
from standins.shelf import Handler, Shelf

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
HELD, COULD_NOT_RUN, BROKEN = 0, 2, 10
SOCKET_FD = 7
LONGEST_RUN_S = 110.0


def free_port() -> int:
    """Return a loopback port that is free now."""
    with socket.socket() as unused:
        unused.bind((LOOPBACK, 0))
        return int(unused.getsockname()[1])


def has_trouble() -> bool:
    """Return whether the run has its disruption; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_command(arguments: str = "") -> str:
    """Return the command ``run`` of the deploy file, with arguments after it."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return f"{tomllib.load(file)['run']} {arguments}".strip()


class RouterProcess:
    """One process that ``run`` started."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, record: Record) -> None:
        self.name = name
        self.process = process
        self._record = record

    @property
    def exit_code(self) -> int | None:
        """The exit code; None while the process runs."""
        return self.process.returncode

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._record.write("signal", process=self.name, signal=number.name)
        self.process.send_signal(number)

    async def exited_within(self, seconds: float) -> bool:
        """Wait for the exit; return whether it came in time."""
        try:
            await asyncio.wait_for(self.process.wait(), seconds)
        except TimeoutError:
            return False
        self._record.write("exit", process=self.name, code=self.exit_code)
        return True


class Platform:
    """Discovery, the listed servers and the processes of one run."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.record = record
        self.folder = folder
        self.discovery = Discovery()
        self.listen = (LOOPBACK, free_port())
        self.settings = copy.deepcopy(SETTINGS)
        self.shelves: dict[str, Shelf] = {}
        self._listening: socket.socket | None = None
        self.processes: list[RouterProcess] = []

    async def start(self, handler: Handler) -> None:
        """Start the servers, which all use this handler, and discovery, which lists them."""
        hosts = []
        for name, kind, zone, cell in SERVERS:
            shelf = self.shelves[name] = Shelf(name, handler)
            await shelf.start()
            host, port = shelf.address
            hosts.append(
                {
                    "host": name,
                    "dial": f"{host}:{port}",
                    "site": zone,
                    "class": kind,
                    "block": cell,
                    "health": "active",
                    "share": 6,
                    "born_ms": 0,
                }
            )
        await self.discovery.start()
        self.discovery.publish(nodes={"seq": 1, "whole": True, "hosts": hosts})

    def hold_listening_socket(self) -> None:
        """Open the clients' listening socket here; each process inherits it as descriptor 7."""
        self._listening = socket.socket()
        self._listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listening.bind(self.listen)
        self._listening.listen(512)
        os.dup2(self._listening.fileno(), SOCKET_FD)

    def config(self) -> dict[str, Any]:
        """Return the configuration of the router."""
        return {
            "name": "n1",
            "listen": f"{LOOPBACK}:{self.listen[1]}",
            "seed": f"{time.time_ns():016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "channel": "{}:{}".format(*self.discovery.address),
            "flow_bytes_per_s": 310000,
            "link_bytes_per_s": 1240000,
            "known": self.discovery.known(),
            "settings": self.settings,
        }

    def write_config(self, name: str) -> Path:
        """Write the configuration of a process, in place of an earlier one; return its path."""
        path = self.folder / f"{name}.json"
        new = path.with_suffix(".new")
        new.write_text(json.dumps(self.config()), encoding="utf-8")
        new.replace(path)
        return path

    async def run(self, name: str, arguments: str = "", **variables: str) -> RouterProcess:
        """Start ``run`` from the root, as the platform does."""
        config = self.write_config(name)
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environ = {
            "PATH": os.environ["PATH"],
            "PROXY_NAME": "n1",
            "PROXY_LISTEN": f"{LOOPBACK}:{self.listen[1]}",
            "PROXY_CONFIG": str(config),
            "TMPDIR": str(temporary),
            **variables,
        }
        command = run_command(arguments)
        descriptors: tuple[int, ...] = ()
        if self._listening is not None:
            descriptors = (SOCKET_FD,)
            environ["PROXY_SOCKET_FD"] = str(SOCKET_FD)
        with (self.folder / f"{name}.log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environ, stderr=log, stdout=log, pass_fds=descriptors
            )
        self.record.write("start", process=name, pid=process.pid, command=repr(command))
        router = RouterProcess(name, process, self.record)
        self.processes.append(router)
        return router

    async def is_ready_within(self, seconds: float) -> bool:
        """Wait until the front has taken the router in; return whether it did in time."""
        return await self._becomes_true(lambda: is_taken_in(self.listen), seconds)

    async def says_yes_within(self, admin: tuple[str, int], router: RouterProcess, seconds: float) -> bool:
        """Wait for ``ACK`` to ``check``; return whether it came in time and before the process exited."""

        async def says_yes_or_exited() -> bool:
            return router.exit_code is not None or await ask_admin(admin, "check") == "ACK"

        await self._becomes_true(says_yes_or_exited, seconds)
        answer = "" if router.exit_code is not None else await ask_admin(admin, "check")
        self.record.write("admin", process=router.name, call="check", answer=answer or "none")
        return answer == "ACK"

    async def _becomes_true(self, condition: Callable[[], Awaitable[bool]], seconds: float) -> bool:
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            if await condition():
                return True
            await asyncio.sleep(0.05)
        return False

    async def end(self) -> None:
        """Kill and reap all processes that still run, and copy the ends of their logs to the record."""
        for router in self.processes:
            if router.exit_code is None:
                router.process.send_signal(signal.SIGCONT)
                router.process.kill()
                await router.process.wait()
            log = self.folder / f"{router.name}.log"
            for line in log.read_text(encoding="utf-8", errors="replace").splitlines()[-20:]:
                self.record.write("log", process=router.name, line=line)
        if self._listening is not None:
            self._listening.close()


async def ask_admin(address: tuple[str, int], call: str, last_line: str = "") -> str:
    """Return the reply to a call of the second address, empty if there is none.

    The reply is its first line, or all lines up to ``last_line``.
    """
    lines = []
    try:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(call.encode() + b"\n")
        while not lines or last_line not in ("", lines[-1]):
            line = await asyncio.wait_for(reader.readline(), 1.0)
            if not line:
                break
            lines.append(line.decode().strip())
    except (OSError, TimeoutError):
        return ""
    writer.close()
    return "\n".join(lines)


class CannotRunError(Exception):
    """The case could not be run; the text says why."""


def require(condition: object, why_not: str) -> None:
    """Raise CannotRunError unless the condition holds."""
    if not condition:
        raise CannotRunError(why_not)


# Plays a case; returns whether the rule held.
Case = Callable[[Platform], Awaitable[bool]]


async def _play(case: Case, record: Record) -> int:
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        platform = Platform(record, Path(folder))
        try:
            is_held = await asyncio.wait_for(case(platform), LONGEST_RUN_S)
        except Exception as error:  # anything that is no verdict
            record.write("could not run", cause=repr(error))
            return COULD_NOT_RUN
        finally:
            await platform.end()
    record.write("rule", result="held" if is_held else "broken")
    return HELD if is_held else BROKEN


def play(case: Case, folder: Path) -> int:
    """Play a case with a record in its folder; return the exit code of its program.

    SIGTERM ends it as Ctrl-C does, so that the processes that it started are ended too.
    """
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    null = os.open(os.devnull, os.O_RDONLY)
    os.dup2(null, SOCKET_FD, inheritable=False)  # keeps the number free for the listening socket
    os.close(null)
    with Record(folder / "record.txt") as record:
        record.write("trouble", on=int(has_trouble()))
        return asyncio.run(_play(case, record))
