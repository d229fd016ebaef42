"""The adapter: reads the simulator's wire, drives one router per instance, writes the replies.

Translation only.  Run as ``python -m thornjunction.adapter``; standard output carries replies and nothing
else, complaints go to standard error.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from typing import Any, TextIO

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
    "done": api.Status.DONE,
    "err": api.Status.ERROR,
    "busy": api.Status.BUSY,
    "etimedout": api.Status.TIMEOUT,
    "econnrefused": api.Status.REFUSED,
    "econnreset": api.Status.RESET,
    "ecanceled": api.Status.CANCELLED,
    "skipped": api.Status.SKIPPED,
    "enoent": api.Status.MISS,
}
STATES = {"SERVING": api.State.SERVING, "DRAINING": api.State.DRAINING, "DELETED": api.State.GONE}
TEXT_FIELDS = ("params", "bodyText")  # run to the end of the line
JOIN, HELD_ONLY, RENEW = 1, 2, 8  # bits of 'how'

Fields = dict[str, str]


def split_line(line: str) -> tuple[str, Fields]:
    """The message's name and its fields."""
    name, _, rest = line.partition(" ")
    fields: Fields = {}
    while rest:
        field, equals, tail = rest.partition("=")
        if not equals or not field or " " in field:
            raise WireError(f"malformed field {rest[:80]!r} in {name!r}")
        if field in TEXT_FIELDS:
            fields[field], rest = tail, ""
        else:
            fields[field], _, rest = tail.partition(" ")
    return name, fields


def value(fields: Fields, name: str, convert: Callable[[str], Any], default: Any = None) -> Any:
    """A field's value; a missing one without a default, or one that does not convert, is an error."""
    if name not in fields:
        if default is None:
            raise WireError(f"missing field {name!r}")
        return default
    try:
        return convert(fields[name])
    except (KeyError, ValueError) as error:
        raise WireError(f"bad value {fields[name][:80]!r} of field {name!r}") from error


def flag(text: str) -> bool:
    """A wire bool."""
    return {"1": True, "0": False}[text]


class Instance:
    """One front: its router and the names that its wire uses."""

    def __init__(self, fields: Fields) -> None:
        params = SettingsReader(parse_json(value(fields, "params", str)))
        self.roles = read_roles(params)
        report = params.section("report") if "report" in params.data else SettingsReader({"columns": []})
        self.columns: list[str] = report.get("columns", list, [])
        self.router = Router(read_settings(params), value(fields, "randomSeed", int, 0))

    def report(self, text: str) -> api.Report:
        """A load report by the settings' columns."""
        try:
            told = dict(zip(self.columns, map(float, text.split(",")), strict=False))
        except ValueError as error:
            raise WireError(f"bad load report {text[:80]!r}") from error
        return read_report(told)

    def entry(self, fields: Fields) -> api.ServerEntry:
        """One line of a list."""
        return api.ServerEntry(
            server=value(fields, "cache", str),
            role=self.roles.get(value(fields, "model", str, ""), api.Role.EDGE),
            zone=value(fields, "dc", str, ""),
            state=value(fields, "status", STATES.__getitem__),
            weight=value(fields, "weight", float, 1.0),
            cell=value(fields, "stripe", int, 0),
            started_ms=value(fields, "bootTimeMs", float, 0.0),
        )

    def event(self, name: str, fields: Fields) -> api.Event | None:
        """The router's event for a wire message; None if the message is not known."""
        match name:
            case "REQ":
                return api.Request(
                    request=value(fields, "requestId", str),
                    class_name=value(fields, "kind", str),
                    key=value(fields, "key", int, 0),
                    left_ms=value(fields, "graceMs", float),
                    part=int(value(fields, "chunk", float, 0)),
                    group=int(value(fields, "batchId", float, 0)),
                    size_kb=value(fields, "sizeKb", float, 0.0),
                )
            case "VERDICT":
                return api.Outcome(
                    request=value(fields, "requestId", str),
                    attempt=value(fields, "roundNo", int, 0),
                    server=value(fields, "cache", str, ""),
                    status=value(fields, "status", STATUSES.__getitem__),
                    took_ms=value(fields, "waitTimeMs", float, 0.0),
                    note=value(fields, "detail", lambda text: api.Note(int(text)), api.Note.NONE),
                    source_wait_ms=value(fields, "sourceWaitMs", float) if "sourceWaitMs" in fields else None,
                    final=value(fields, "terminal", flag, False),
                    report=self.report(fields["report"]) if "report" in fields else None,
                )
            case "TIMED_OUT_CLIENT":
                return api.ClientGone(value(fields, "requestId", str))
            case "FIRED":
                return api.TimerFired(value(fields, "cookie", int))
            case "STRUCK_OUT":
                return api.Purged(
                    group=int(value(fields, "bucket", float, 0)),
                    age_ms=value(fields, "ageSpanMs", float, 0.0),
                    key=value(fields, "key", int) if "key" in fields else None,
                )
            case "PROBED":
                return api.Probed(
                    server=value(fields, "cache", str),
                    status=value(fields, "status", STATUSES.__getitem__),
                    took_ms=value(fields, "waitTimeMs", float, 0.0),
                    report=self.report(fields["report"]) if "report" in fields else None,
                )
        return None


def action_line(who: int, action: api.Action) -> str:
    """The wire's line for an action."""
    match action:
        case api.Fetch():
            how = JOIN * action.join + HELD_ONLY * action.held_only + RENEW * action.renew
            return (
                f"OBTAIN who={who} requestId={action.request} cache={action.server} "
                f"allowForMs={action.timeout_ms:.3f} missFrom={action.source} rank={action.rank} "
                f"ageSpanMs={action.max_age_ms:.3f} how={how}"
            )
        case api.Cancel():
            return f"RECALL who={who} requestId={action.request} roundNo={action.attempt}"
        case api.Refuse():
            return f"PUSH_BACK who={who} requestId={action.request} waitMs={action.wait_ms:.3f}"
        case api.Fail():
            return f"RESPOND_ERROR who={who} requestId={action.request}"
        case api.SetTimer():
            return f"SCHEDULE who={who} inMs={action.in_ms:.3f} cookie={action.token}"
        case api.Probe():
            return f"SAMPLE who={who} cache={action.server}"


class Host:
    """All instances of this process and the wire between them and the simulator."""

    def __init__(self, output: TextIO, complaints: TextIO) -> None:
        self.output, self.complaints = output, complaints
        self.instances: dict[int, Instance] = {}
        self.lists: dict[int, list[Fields]] = {}
        self.open_list: list[Fields] = []
        self.missing = 0  # lines still to come of the open list

    def run(self, lines: Iterable[str]) -> None:
        """Answer batches until the input ends."""
        turn, now, replies, in_batch = "0", 0.0, [""][:0], False
        for raw in lines:
            line = raw.rstrip("\r\n")
            if not line:
                continue
            name, fields = split_line(line)
            if name == "CLOCK":
                now, turn = value(fields, "nowMs", float), str(value(fields, "turn", int))
                replies, in_batch = [], True
            elif not in_batch:
                raise WireError(f"{name!r} outside a batch")
            elif name == "GO":
                if self.missing:
                    raise WireError(f"a list lacks {self.missing} entries")
                in_batch = False
                self.output.write("".join(reply + "\n" for reply in replies) + f"OK turn={turn}\n")
                self.output.flush()
            else:
                replies += self.message(now, name, fields)

    def message(self, now: float, name: str, fields: Fields) -> list[str]:
        """Take in one message of a batch; the lines to reply."""
        if name == "ENTRY":
            if not self.missing:
                raise WireError("an entry outside a list")
            self.missing -= 1
            self.open_list.append(fields)
            return []
        if self.missing:
            raise WireError(f"{name!r} where a list lacks {self.missing} entries")
        if name == "PAGE":
            self.open_list = self.lists[value(fields, "slot", int)] = []
            self.missing = value(fields, "items", int)
            return []
        if "who" not in fields:
            print(f"ignored message {name!r}", file=self.complaints)
            return []
        who = value(fields, "who", int)
        if name == "KILL":
            self.instances.pop(who, None)
            return []
        if name == "BEGIN":
            self.instances[who] = Instance(fields)
            return []
        instance = self.instances.get(who)
        if instance is None:
            print(f"ignored {name!r} for {who}, which is not running", file=self.complaints)
            return []
        if name == "MEMBERS":
            if fields.get("kind") == "X":
                return []
            entries = self.lists.get(value(fields, "slot", int))
            if entries is None:
                raise WireError("a list that was never sent")
            event: api.Event | None = api.Servers(
                tuple(instance.entry(line) for line in entries), whole=fields.get("kind") != "D"
            )
        else:
            event = instance.event(name, fields)
        if event is None:
            print(f"ignored message {name!r}", file=self.complaints)
            return []
        try:
            return [action_line(who, action) for action in instance.router.handle(now, event)]
        except Exception as error:  # the wire has a message for this, and the day ends there
            return [f"FATAL who={who} bodyText={type(error).__name__}: {error}".replace("\n", " ")]


def main() -> int:
    """Serve standard input; the exit code."""
    try:
        Host(sys.stdout, sys.stderr).run(sys.stdin)
    except WireError as error:
        print(f"thornjunction: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
