"""The child processes of a run: workers, which execute commands, and programs of the router itself."""

from __future__ import annotations

import os
import selectors
import subprocess
import sys
import time
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import IO, TypeVar

import msgspec
from fleet_harness.parent_death import wrapped_command

from fleet_scale.errors import (
    CommandRejectedError,
    MissingPipeError,
    ProcessEndedError,
    ReplyTimeoutError,
    RunError,
    UnexpectedReplyError,
)
from fleet_scale.messages import Command, CommandRejected, Message, Reply, Settings
from fleet_scale.process_usage import ProcessUsage, read_memory_mb

# Time within which a worker must reply to a command.
REPLY_TIMEOUT_S = 60.0
# Environment variables that configure a router, which a child must not inherit.
ROUTER_VARIABLES = ("PROXY_NAME", "PROXY_LISTEN", "PROXY_ADMIN_ADDR", "PROXY_SOCKET_FD", "PROXY_CONFIG")
# The unit of processor time in /proc.
TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")
# Indexes of fields in /proc/PID/stat, counted after the command's name.
USER_TICKS_FIELD = 11
SYSTEM_TICKS_FIELD = 12
# Characters from the end of a process's log that an error message includes.
SHOWN_LOG_CHARACTERS = 2000
READ_BYTES = 1 << 16

ReplyT = TypeVar("ReplyT", bound=Message)

_decode_reply = msgspec.json.Decoder(Reply).decode


def child_variables(additional: Mapping[str, str]) -> dict[str, str]:
    """Return the environment variables of a child: this import path, without a router's configuration."""
    variables = {name: value for name, value in os.environ.items() if name not in ROUTER_VARIABLES}
    variables["PYTHONPATH"] = os.pathsep.join(path or os.getcwd() for path in sys.path)
    return variables | dict(additional)


class ChildProcess:
    """A child process that writes its standard error to a log file of its own."""

    def __init__(
        self,
        name: str,
        command: Sequence[str],
        folder: Path,
        variables: Mapping[str, str] | None = None,
        has_pipes: bool = False,
    ) -> None:
        self.name = name
        self._log_path = folder / f"{name}.log"
        pipe = subprocess.PIPE if has_pipes else None
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                command, env=child_variables(variables or {}), cwd=folder, stdin=pipe, stdout=pipe, stderr=log
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    def kill(self) -> None:
        """Kill the process without waiting for its exit, so that many can be killed at once."""
        if self._process.poll() is None:
            self._process.kill()

    def wait(self) -> None:
        """Wait until the process has exited and close its pipes."""
        self._process.wait()
        for pipe in (self._process.stdin, self._process.stdout):
            if pipe is not None:
                pipe.close()

    def usage(self) -> ProcessUsage:
        """Return the resource usage of the process.  Raises RunError if it has exited."""
        try:
            stat = Path(f"/proc/{self.pid}/stat").read_text()
            resident_mb, private_mb = read_memory_mb(str(self.pid))
            descriptors = len(os.listdir(f"/proc/{self.pid}/fd"))
        except OSError as error:
            raise self._ended_error() from error
        fields = stat.rpartition(")")[2].split()
        ticks = int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])
        return ProcessUsage(ticks * TICK_S, resident_mb, private_mb, descriptors)

    def _ended_error(self) -> RunError:
        log = self._log_path.read_text(encoding="utf-8", errors="replace")
        return ProcessEndedError(self.name, log[-SHOWN_LOG_CHARACTERS:])


class RouterProgram(ChildProcess):
    """``thornjunction run`` with its own files; the kernel kills it if this process ends."""

    def __init__(self, name: str, folder: Path, config: Path | None, operators_file: Path | None) -> None:
        command = [sys.executable, "-m", "thornjunction", "run"]
        if operators_file is not None:
            command += ["--extras", str(operators_file)]
        variables = {"PROXY_CONFIG": str(config)} if config is not None else {}
        super().__init__(name, wrapped_command(command), folder, variables)


class WorkerProcess(ChildProcess):
    """A process of ``fleet_scale.worker``; the type of its settings determines its role."""

    def __init__(self, name: str, folder: Path, settings: Settings) -> None:
        command = [sys.executable, "-m", "fleet_scale.worker", str(os.getpid())]
        super().__init__(name, command, folder, has_pipes=True)
        self._unread = b""
        self._selector = selectors.DefaultSelector()
        self._replies = self._pipe(self._process.stdout)
        os.set_blocking(self._replies.fileno(), False)
        self._selector.register(self._replies, selectors.EVENT_READ)
        self._send_message(settings)

    def _pipe(self, pipe: IO[bytes] | None) -> IO[bytes]:
        if pipe is None:
            raise MissingPipeError(self.name)
        return pipe

    def send(self, command: Command) -> None:
        """Send a command; its reply must be read before the next command is sent.  Raises RunError."""
        self._send_message(command)

    def _send_message(self, message: Command | Settings) -> None:
        commands = self._pipe(self._process.stdin)
        try:
            commands.write(msgspec.json.encode(message) + b"\n")
            commands.flush()
        except OSError as error:
            raise self._ended_error() from error

    def reply(self, expected: type[ReplyT], timeout_s: float = REPLY_TIMEOUT_S) -> ReplyT:
        """Return the next reply.

        Raises RunError if none arrives within the timeout, if its type is not ``expected``, or if the worker
        rejected the command.
        """
        reply = _decode_reply(self._read_line(timeout_s))
        if isinstance(reply, CommandRejected):
            raise CommandRejectedError(self.name, reply.reason)
        if not isinstance(reply, expected):
            raise UnexpectedReplyError(self.name, type(reply), expected)
        return reply

    def _read_line(self, timeout_s: float) -> bytes:
        deadline_s = time.monotonic() + timeout_s
        while b"\n" not in self._unread:
            if not self._selector.select(max(deadline_s - time.monotonic(), 0.0)):
                raise ReplyTimeoutError(self.name, timeout_s)
            data = os.read(self._replies.fileno(), READ_BYTES)
            if not data:
                raise self._ended_error()
            self._unread += data
        line, _, self._unread = self._unread.partition(b"\n")
        return line

    def call(self, command: Command, expected: type[ReplyT]) -> ReplyT:
        """Send a command and return its reply.  Raises RunError."""
        self.send(command)
        return self.reply(expected)


def call_all(workers: Sequence[WorkerProcess], command: Command, expected: type[ReplyT]) -> list[ReplyT]:
    """Send one command to several workers, which execute it in parallel, and return their replies."""
    for worker in workers:
        worker.send(command)
    return [worker.reply(expected) for worker in workers]
