"""The worker's end of the connection to the run: decodes commands, executes them, and sends the replies."""

from __future__ import annotations

import gc
from collections.abc import Callable
from typing import Protocol

import msgspec
from twisted.protocols.basic import LineOnlyReceiver

from fleet_scale.messages import Command, Reply, ReportFigures, Settings
from thornjunction.net.event_loop.ports import Transport
from thornjunction.runtime.start import GC_THRESHOLDS

# Longest accepted line, which holds settings or a command.
MAX_LINE_BYTES = 8 << 20


class Role(Protocol):
    """The function of a worker process."""

    def figures(self) -> Reply:
        """Return the counters and the state of the role."""

    def handle(self, command: Command) -> Reply:
        """Execute a command and return its reply: CommandRejected if the role does not implement it."""


class CommandReceiver(LineOnlyReceiver):
    """The connection to the parent process; the role is built from the settings in the first line."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE_BYTES
    transport: Transport  # type: ignore[assignment]

    def __init__(self, build_role: Callable[[Settings], Role], on_disconnect: Callable[[], None]) -> None:
        self._build_role = build_role
        self._on_disconnect = on_disconnect
        self._role: Role | None = None
        self._decode_settings = msgspec.json.Decoder(Settings).decode
        self._decode_command = msgspec.json.Decoder(Command).decode

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Build the role from the first line, and execute the command in every other."""
        if self._role is None:
            self._role = self._build_role(self._decode_settings(line))
            gc.freeze()
            gc.set_threshold(*GC_THRESHOLDS)
            self._send(self._role.figures())
            return
        command = self._decode_command(line)
        if isinstance(command, ReportFigures):
            self._send(self._role.figures())
        else:
            self._send(self._role.handle(command))

    def _send(self, reply: Reply) -> None:
        self.transport.write(msgspec.json.encode(reply) + self.delimiter)

    def connectionLost(self, reason: object = None) -> None:  # noqa: ARG002, N802
        """End the process: the parent has closed the connection."""
        self._on_disconnect()
