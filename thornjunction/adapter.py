"""The simulator's adapter: reads its messages, drives one router per instance, writes the replies.

Translation only.  Run as ``python -m thornjunction.adapter``; standard output carries replies and nothing
else, warnings go to standard error.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TextIO, TypeVar

from thornjunction import interface as api
from thornjunction.policy.router import Router
from thornjunction.settings import (
    SettingsReader,
    WireError,
    parse_json,
    read_report,
    read_roles,
    read_settings,
)

STATUSES = {
    "done": api.AttemptStatus.SUCCEEDED,
    "err": api.AttemptStatus.ERROR,
    "busy": api.AttemptStatus.OVERLOADED,
    "etimedout": api.AttemptStatus.TIMEOUT,
    "econnrefused": api.AttemptStatus.CONNECTION_REFUSED,
    "econnreset": api.AttemptStatus.CONNECTION_RESET,
    "ecanceled": api.AttemptStatus.CANCELLED,
    "skipped": api.AttemptStatus.NOT_STARTED,
    "enoent": api.AttemptStatus.CACHE_MISS,
}
STATES = {
    "SERVING": api.ServerState.SERVING,
    "DRAINING": api.ServerState.DRAINING,
    "DELETED": api.ServerState.REMOVED,
}
TEXT_FIELDS = ("params", "bodyText")
"""Fields whose value runs to the end of the line."""
SHOWN_CHARACTERS = 80
"""Of a faulty text in an error's message."""
EXIT_MALFORMED_INPUT = 2

# Bits of the field ``how``.
HOW_JOIN = 1
HOW_CACHED_ONLY = 2
HOW_RENEW = 8

Fields = dict[str, str]

Value = TypeVar("Value")
Default = TypeVar("Default")


class MalformedFieldError(WireError):
    """A part of a line that is not ``name=value``."""

    def __init__(self, text: str, message_name: str) -> None:
        super().__init__(f"malformed field {text[:SHOWN_CHARACTERS]!r} in {message_name!r}")


class MissingFieldError(WireError):
    """A message without a field that it needs."""

    def __init__(self, name: str) -> None:
        super().__init__(f"missing field {name!r}")


class InvalidFieldError(WireError):
    """A field whose value has no meaning."""

    def __init__(self, name: str, text: str) -> None:
        super().__init__(f"bad value {text[:SHOWN_CHARACTERS]!r} of field {name!r}")


class InvalidReportError(WireError):
    """A load report that is not a list of numbers."""

    def __init__(self, text: str) -> None:
        super().__init__(f"bad load report {text[:SHOWN_CHARACTERS]!r}")


class UnexpectedMessageError(WireError):
    """A message at a place where it may not stand."""

    def __init__(self, message_name: str, place: str) -> None:
        super().__init__(f"{message_name!r} {place}")


class IncompleteListError(WireError):
    """A batch that ends before its list does."""

    def __init__(self, missing_entries: int) -> None:
        super().__init__(f"a list lacks {missing_entries} entries")


class UnknownListError(WireError):
    """A reference to a list of servers that was never sent."""

    def __init__(self) -> None:
        super().__init__("a list that was never sent")


@dataclass(frozen=True, slots=True)
class Message:
    """One line of the wire."""

    name: str
    fields: Fields


def parse_line(line: str) -> Message:
    """Split a line into its message's name and fields.  Raises WireError where it is malformed."""
    name, _, rest = line.partition(" ")
    fields: Fields = {}
    while rest:
        field, equals, tail = rest.partition("=")
        if not equals or not field or " " in field:
            raise MalformedFieldError(rest, name)
        if field in TEXT_FIELDS:
            fields[field] = tail
            break
        fields[field], _, rest = tail.partition(" ")
    return Message(name, fields)


def required(fields: Fields, name: str, convert: Callable[[str], Value]) -> Value:
    """A field's value.  Raises WireError where it is missing or does not convert."""
    if name not in fields:
        raise MissingFieldError(name)
    try:
        return convert(fields[name])
    except (KeyError, ValueError) as error:
        raise InvalidFieldError(name, fields[name]) from error


def optional(fields: Fields, name: str, convert: Callable[[str], Value], default: Default) -> Value | Default:
    """A field's value, or the default where it is missing.  Raises WireError where it does not convert."""
    return required(fields, name, convert) if name in fields else default


def parse_flag(text: str) -> bool:
    """A flag, 0 or 1.  Raises KeyError for another text."""
    return {"1": True, "0": False}[text]


def parse_note(text: str) -> api.FillResult:
    """A server's note, by its number.  Raises ValueError for an unknown one."""
    return api.FillResult(int(text))


def parse_whole_number(text: str) -> int:
    """A whole number that may be written with a fraction, which is dropped."""
    return int(float(text))


class Instance:
    """One router and the names that its messages use."""

    def __init__(self, fields: Fields) -> None:
        params = SettingsReader(parse_json(required(fields, "params", str)))
        self.roles = read_roles(params)
        report = params.section("report") if "report" in params.data else SettingsReader({"columns": []})
        self.report_columns: list[str] = report.get("columns", list, [])
        self.router = Router(read_settings(params), optional(fields, "randomSeed", int, 0))

    def load_report(self, text: str) -> api.LoadReport:
        """Parse a load report by the settings' columns."""
        try:
            values = dict(zip(self.report_columns, map(float, text.split(",")), strict=False))
        except ValueError as error:
            raise InvalidReportError(text) from error
        return read_report(values)

    def server_entry(self, fields: Fields) -> api.ServerEntry:
        """Read one entry of a list of servers."""
        return api.ServerEntry(
            server=required(fields, "cache", str),
            role=self.roles.get(optional(fields, "model", str, ""), api.Role.EDGE),
            zone=optional(fields, "dc", str, ""),
            state=required(fields, "status", STATES.__getitem__),
            weight=optional(fields, "weight", float, 1.0),
            cell=optional(fields, "stripe", int, 0),
            started_ms=optional(fields, "bootTimeMs", float, 0.0),
        )

    def event(self, message: Message) -> api.Event | None:
        """The router's event for a message; None if the message is not known."""
        fields = message.fields
        match message.name:
            case "REQ":
                return _request(fields)
            case "VERDICT":
                return self._outcome(fields)
            case "TIMED_OUT_CLIENT":
                return api.ClientDisconnected(required(fields, "requestId", str))
            case "FIRED":
                return api.TimerFired(required(fields, "cookie", int))
            case "STRUCK_OUT":
                return _purge(fields)
            case "PROBED":
                return self._probe_result(fields)
        return None

    def _outcome(self, fields: Fields) -> api.AttemptEnded:
        return api.AttemptEnded(
            request_id=required(fields, "requestId", str),
            attempt_number=optional(fields, "roundNo", int, 0),
            server=optional(fields, "cache", str, ""),
            status=required(fields, "status", STATUSES.__getitem__),
            elapsed_ms=optional(fields, "waitTimeMs", float, 0.0),
            fill_result=optional(fields, "detail", parse_note, api.FillResult.NONE),
            fill_first_byte_ms=optional(fields, "sourceWaitMs", float, None),
            final=optional(fields, "terminal", parse_flag, False),
            report=optional(fields, "report", self.load_report, None),
        )

    def _probe_result(self, fields: Fields) -> api.HealthCheckEnded:
        return api.HealthCheckEnded(
            server=required(fields, "cache", str),
            status=required(fields, "status", STATUSES.__getitem__),
            elapsed_ms=optional(fields, "waitTimeMs", float, 0.0),
            report=optional(fields, "report", self.load_report, None),
        )


def _request(fields: Fields) -> api.Request:
    return api.Request(
        request_id=required(fields, "requestId", str),
        class_name=required(fields, "kind", str),
        key=optional(fields, "key", int, 0),
        remaining_ms=required(fields, "graceMs", float),
        part=optional(fields, "chunk", parse_whole_number, 0),
        group=optional(fields, "batchId", parse_whole_number, 0),
        size_kb=optional(fields, "sizeKb", float, 0.0),
    )


def _purge(fields: Fields) -> api.PurgeReceived:
    return api.PurgeReceived(
        group=optional(fields, "bucket", parse_whole_number, 0),
        age_ms=optional(fields, "ageSpanMs", float, 0.0),
        key=optional(fields, "key", int, None),
    )


def action_line(who: int, action: api.Action) -> str:
    """The reply for an action of the instance ``who``."""
    match action:
        case api.StartAttempt():
            return (
                f"OBTAIN who={who} requestId={action.request_id} cache={action.server} "
                f"allowForMs={action.timeout_ms:.3f} missFrom={action.source} rank={action.retention_rank} "
                f"ageSpanMs={action.max_age_ms:.3f} how={_fetch_mode(action)}"
            )
        case api.CancelAttempt():
            return f"RECALL who={who} requestId={action.request_id} roundNo={action.attempt_number}"
        case api.RejectRequest():
            return f"PUSH_BACK who={who} requestId={action.request_id} waitMs={action.retry_after_ms:.3f}"
        case api.FailRequest():
            return f"RESPOND_ERROR who={who} requestId={action.request_id}"
        case api.SetTimer():
            return f"SCHEDULE who={who} inMs={action.in_ms:.3f} cookie={action.token}"
        case api.CheckHealth():
            return f"SAMPLE who={who} cache={action.server}"


def _fetch_mode(action: api.StartAttempt) -> int:
    how = 0
    if action.coalesce:
        how |= HOW_JOIN
    if action.cached_only:
        how |= HOW_CACHED_ONLY
    if action.refresh_in_background:
        how |= HOW_RENEW
    return how


@dataclass(slots=True)
class Batch:
    """The messages of one turn: their time, and the replies so far."""

    turn: int
    now_ms: float
    replies: list[str]


class Host:
    """All instances of this process, driven by the simulator's lines."""

    def __init__(self, output: TextIO, warnings: TextIO) -> None:
        self.output = output
        self.warnings = warnings
        self.instances: dict[int, Instance] = {}
        self._server_lists: dict[int, list[Fields]] = {}
        self._open_list: list[Fields] = []
        self._missing_entries = 0  # still to come of the open list
        self._batch: Batch | None = None

    def run(self, lines: Iterable[str]) -> None:
        """Answer batches until the input ends.  Raises WireError for malformed input."""
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
        self.output.write("".join(reply + "\n" for reply in batch.replies) + f"OK turn={batch.turn}\n")
        self.output.flush()

    def _handle(self, now_ms: float, message: Message) -> list[str]:
        """Take in one message of a batch; the lines to reply."""
        if message.name == "ENTRY":
            self._add_entry(message.fields)
            return []
        if self._missing_entries:
            raise UnexpectedMessageError(message.name, f"where a list lacks {self._missing_entries} entries")
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

    def _handle_for_instance(self, now_ms: float, who: int, message: Message) -> list[str]:
        if message.name == "KILL":
            self.instances.pop(who, None)
            return []
        if message.name == "BEGIN":
            self.instances[who] = Instance(message.fields)
            return []
        instance = self.instances.get(who)
        if instance is None:
            self._warn(f"ignored {message.name!r} for {who}, which is not running")
            return []
        if message.name == "MEMBERS" and message.fields.get("kind") == "X":
            return []
        event = self._event(instance, message)
        if event is None:
            self._warn(f"ignored message {message.name!r}")
            return []
        try:
            return [action_line(who, action) for action in instance.router.handle(now_ms, event)]
        except Exception as error:  # the wire has a message for this, and the simulated day ends there
            return [f"FATAL who={who} bodyText={type(error).__name__}: {error}".replace("\n", " ")]

    def _event(self, instance: Instance, message: Message) -> api.Event | None:
        if message.name != "MEMBERS":
            return instance.event(message)
        entries = self._server_lists.get(required(message.fields, "slot", int))
        if entries is None:
            raise UnknownListError
        is_whole = message.fields.get("kind") != "D"
        return api.EndpointListUpdate(
            tuple(instance.server_entry(entry) for entry in entries), complete=is_whole
        )

    def _warn(self, text: str) -> None:
        print(text, file=self.warnings)


def main() -> int:
    """Serve standard input until it ends; the exit code."""
    try:
        Host(sys.stdout, sys.stderr).run(sys.stdin)
    except WireError as error:
        print(f"thornjunction: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
