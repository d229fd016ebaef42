"""A run's side of its processes: workers, asked by lines of JSON, and programs of the router itself."""

from __future__ import annotations

import json
import os
import selectors
import subprocess
import sys
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

REPLY_S = 60.0  # for one command
LEFT = "PROXY_NAME", "PROXY_LISTEN", "PROXY_ADMIN_ADDR", "PROXY_SOCKET_FD", "PROXY_CONFIG"
TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")


class RunError(Exception):
    """What keeps a run from going on."""


def environment(more: Mapping[str, str]) -> dict[str, str]:
    """For a child: the same path to the same packages, nothing of a router's own configuration."""
    env = {key: value for key, value in os.environ.items() if key not in LEFT}
    env["PYTHONPATH"] = os.pathsep.join(path or os.getcwd() for path in sys.path)
    return env | dict(more)


class Process:
    """One program with a log of its own, ended by its id."""

    def __init__(self, name: str, command: Sequence[str], folder: Path, env: Mapping[str, str], **io: Any):
        self.name, self.log = name, folder / f"{name}.log"
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", *command], env=environment(env), cwd=folder, stderr=log, **io
            )

    @property
    def pid(self) -> int:
        return self.popen.pid

    def kill(self) -> None:
        """Send the end; ``wait`` is another step, so that many end at once."""
        if self.popen.poll() is None:
            self.popen.kill()

    def wait(self) -> None:
        self.popen.wait()
        for pipe in (self.popen.stdin, self.popen.stdout):
            if pipe is not None:
                pipe.close()

    def usage(self) -> dict[str, float]:
        """Processor seconds since its start, MB resident, and without what it shares with files on disk,
        descriptors; RunError where it has ended."""
        try:
            fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
            pages = [int(word) for word in Path(f"/proc/{self.pid}/statm").read_text().split()[1:3]]
            descriptors = len(os.listdir(f"/proc/{self.pid}/fd"))
        except OSError as error:
            raise RunError(f"{self.name} has ended; its log: {self.told()}") from error
        mb, shared_mb = (count * os.sysconf("SC_PAGESIZE") / 1e6 for count in pages)
        ticks = int(fields[11]) + int(fields[12])
        return {"cpu_s": ticks * TICK_S, "mb": mb, "own_mb": mb - shared_mb, "descriptors": descriptors}

    def told(self) -> str:
        """The end of its log."""
        return self.log.read_text(encoding="utf-8", errors="replace")[-2000:]


class Program(Process):
    """``thornjunction run`` with its own configuration and operators' file, tethered to this process."""

    def __init__(self, name: str, folder: Path, config: Path | None, extras: Path | None) -> None:
        run = [sys.executable, "-m", "thornjunction", "run"]
        run += ["--extras", str(extras)] if extras is not None else []
        env = {"PROXY_CONFIG": str(config)} if config is not None else {}
        super().__init__(name, ["fleet_scale.tether", str(os.getpid()), *run], folder, env)


class Worker(Process):
    """A process of ``fleet_scale.worker``."""

    def __init__(self, role: str, name: str, folder: Path, settings: Mapping[str, Any]) -> None:
        command = ["fleet_scale.worker", role, str(os.getpid())]
        super().__init__(name, command, folder, {}, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.role, self._rest = role, b""
        self._selector = selectors.DefaultSelector()
        assert self.popen.stdout is not None
        os.set_blocking(self.popen.stdout.fileno(), False)
        self._selector.register(self.popen.stdout, selectors.EVENT_READ)
        self.say(settings)

    def say(self, told: Mapping[str, Any]) -> None:
        """One line; its reply has to be read before the next."""
        assert self.popen.stdin is not None
        try:
            self.popen.stdin.write(json.dumps(told).encode() + b"\n")
            self.popen.stdin.flush()
        except OSError as error:
            raise RunError(f"{self.name} has ended; its log: {self.told()}") from error

    def reply(self, within_s: float = REPLY_S) -> dict[str, Any]:
        """RunError where none comes in time."""
        until = time.monotonic() + within_s
        assert self.popen.stdout is not None
        while b"\n" not in self._rest:
            if not self._selector.select(max(until - time.monotonic(), 0.0)):
                raise RunError(f"{self.name} did not answer within {within_s:.0f} s")
            data = os.read(self.popen.stdout.fileno(), 1 << 16)
            if not data:
                raise RunError(f"{self.name} has ended; its log: {self.told()}")
            self._rest += data
        line, _, self._rest = self._rest.partition(b"\n")
        told: dict[str, Any] = json.loads(line)
        if "fault" in told:
            raise RunError(f"{self.name}: {told['fault']}")
        return told

    def ask(self, do: str, **fields: Any) -> dict[str, Any]:
        self.say({"do": do} | fields)
        return self.reply()


def ask_all(workers: Sequence[Worker], do: str, **fields: Any) -> list[dict[str, Any]]:
    """The same of all at once."""
    for worker in workers:
        worker.say({"do": do} | fields)
    return [worker.reply() for worker in workers]
