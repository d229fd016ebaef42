"""The session with the simulator: reads batches of messages and writes their replies."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import TextIO

from thornjunction import interface as api
from thornjunction.adapter.errors import IncompleteListError, UnexpectedMessageError, UnknownListError
from thornjunction.adapter.instance import Instance
from thornjunction.adapter.messages import Fields, Message, parse_line, required
from thornjunction.adapter.replies import encode_action


@dataclass(slots=True)
class Batch:
    """One batch of messages, all for the same simulated time.

    Attributes:
        turn: the simulator's number of the batch.
        now_ms: time of the messages on the simulator's clock.
        replies: reply lines so far.
    """

    turn: int
    now_ms: float
    replies: list[str]


class Session:
    """All router instances of this process, driven by the simulator's messages.

    Args:
        output: stream for replies.
        warnings: stream for warnings about ignored messages.
    """

    def __init__(self, output: TextIO, warnings: TextIO) -> None:
        self._output = output
        self._warnings = warnings
        self._instances: dict[int, Instance] = {}
        self._server_lists: dict[int, list[Fields]] = {}
        self._open_list: list[Fields] = []
        self._missing_entries = 0  # entries of the open list that have not been received
        self._batch: Batch | None = None

    def run(self, lines: Iterable[str]) -> None:
        """Read and answer batches until the input ends.

        Raises:
            WireError: the input is malformed.
        """
        for raw_line in lines:
            line = raw_line.rstrip("\r\n")
            if line:
                self._receive(parse_line(line))

    def _receive(self, message: Message) -> None:
        if message.name == "CLOCK":
            now_ms = required(message.fields, "nowMs", float)
            self._batch = Batch(required(message.fields, "turn", int), now_ms, replies=[])
        elif self._batch is None:
            raise UnexpectedMessageError(message.name, "outside a batch")
        elif message.name == "GO":
            self._end_batch(self._batch)
        else:
            self._batch.replies += self._handle(self._batch.now_ms, message)

    def _end_batch(self, batch: Batch) -> None:
        if self._missing_entries:
            raise IncompleteListError(self._missing_entries)
        self._batch = None
        self._output.write("".join(reply + "\n" for reply in batch.replies) + f"OK turn={batch.turn}\n")
        self._output.flush()

    def _handle(self, now_ms: float, message: Message) -> list[str]:
        """Handle one message of a batch and return its reply lines."""
        if message.name == "ENTRY":
            self._add_entry(message.fields)
            return []
        if self._missing_entries:
            raise UnexpectedMessageError(message.name, f"while a list lacks {self._missing_entries} entries")
        if message.name == "PAGE":
            self._open_page(message.fields)
            return []
        if "who" not in message.fields:
            self._warn(f"ignored message {message.name!r}")
            return []
        return self._handle_for_instance(now_ms, required(message.fields, "who", int), message)

    def _add_entry(self, fields: Fields) -> None:
        if not self._missing_entries:
            raise UnexpectedMessageError("ENTRY", "outside a list")
        self._missing_entries -= 1
        self._open_list.append(fields)

    def _open_page(self, fields: Fields) -> None:
        self._open_list = []
        self._server_lists[required(fields, "slot", int)] = self._open_list
        self._missing_entries = required(fields, "items", int)

    def _handle_for_instance(self, now_ms: float, instance_id: int, message: Message) -> list[str]:
        if message.name == "KILL":
            self._instances.pop(instance_id, None)
            return []
        if message.name == "BEGIN":
            self._instances[instance_id] = Instance(message.fields)
            return []
        instance = self._instances.get(instance_id)
        if instance is None:
            self._warn(f"ignored message {message.name!r} for instance {instance_id}, which is not running")
            return []
        if message.name == "MEMBERS" and message.fields.get("kind") == "X":
            return []
        event = self._event(instance, message)
        if event is None:
            self._warn(f"ignored message {message.name!r}")
            return []
        try:
            return [encode_action(instance_id, action) for action in instance.router.handle(now_ms, event)]
        except Exception as error:  # reported by FATAL, at which the simulation ends
            return [f"FATAL who={instance_id} bodyText={type(error).__name__}: {error}".replace("\n", " ")]

    def _event(self, instance: Instance, message: Message) -> api.Event | None:
        if message.name != "MEMBERS":
            return instance.event(message)
        entries = self._server_lists.get(required(message.fields, "slot", int))
        if entries is None:
            raise UnknownListError
        is_complete = message.fields.get("kind") != "D"
        return api.EndpointListUpdate(
            tuple(instance.server_entry(entry) for entry in entries), complete=is_complete
        )

    def _warn(self, text: str) -> None:
        print(text, file=self._warnings)
