"""Finds the events, levels and fields that the program logs, by parsing its source."""

from __future__ import annotations

import ast
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from control_client import notices as selector_notices
from control_client.notices import SelectorNotice
from control_relay import notices as relay_notices
from control_relay.notices import RelayNotice
from gossip_transport import log_events as transport_log_events

from thornjunction import log_events
from thornjunction.runtime.fleet import EVENTS_BY_NOTICE

ROOT = Path(__file__).parents[1]

DECLARING_MODULES = (log_events, relay_notices, selector_notices, transport_log_events)

LOGGERS = frozenset({"log", "_log"})

# Log levels by the names of a logger's methods; ``exception`` also writes a traceback.
LEVELS = {
    "debug": "debug",
    "info": "info",
    "warning": "warning",
    "error": "error",
    "exception": "error",
    "critical": "critical",
}

# Modules with log calls that take the event from a variable, and the events that the variable may hold.
VARIABLE_EVENTS: dict[str, tuple[str, ...]] = {
    "packages/control-client/src/control_client/source_selection.py": tuple(SelectorNotice),
    "thornjunction/net/discovery/multi_source_watch.py": tuple(SelectorNotice),
    "thornjunction/runtime/fleet.py": tuple(EVENTS_BY_NOTICE.values()),
    "thornjunction/runtime/relay.py": tuple(RelayNotice),
}

# Log events by the names of the membership's notices; other packages name notices like their log events.
MEMBERSHIP_EVENTS = {**EVENTS_BY_NOTICE, "refused": log_events.LogEvent.FLEET_DATAGRAM_REJECTED}

# Functions that create a notice from an event and its fields.
NOTICE_FUNCTIONS = frozenset({"Notice", "notify", "_notify"})


@dataclass(slots=True)
class WrittenEvent:
    """The levels and fields of all calls that log an event."""

    levels: set[str] = field(default_factory=set)
    fields: set[str] = field(default_factory=set)


def declared_events() -> dict[str, str]:
    """Return the meanings of the declared events, by event name."""
    meanings: dict[str, str] = {}
    for module in DECLARING_MODULES:
        meanings |= _documented_members(Path(str(module.__file__)))
    return meanings


def connection_kinds(path: Path) -> dict[str, str]:
    """Return the meanings of the kinds of connections, by kind."""
    return _documented_members(path, "ConnectionKind")


def _documented_members(path: Path, class_name: str | None = None) -> dict[str, str]:
    meanings: dict[str, str] = {}
    for statement in ast.parse(path.read_text()).body:
        if not isinstance(statement, ast.ClassDef) or class_name not in (None, statement.name):
            continue
        for member, docstring in zip(statement.body, statement.body[1:], strict=False):
            if isinstance(member, ast.Assign):
                assert isinstance(docstring, ast.Expr), f"{path}: {ast.unparse(member)} has no docstring"
                meanings[ast.literal_eval(member.value)] = " ".join(ast.literal_eval(docstring.value).split())
    return meanings


def source_files() -> Iterator[Path]:
    """Yield the paths of the modules of the program and of the packages."""
    yield from sorted((ROOT / "thornjunction").rglob("*.py"))
    yield from sorted(ROOT.glob("packages/*/src/**/*.py"))


def calls(path: Path) -> Iterator[ast.Call]:
    """Yield the calls in a module."""
    return (node for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.Call))


def is_log_call(call: ast.Call) -> bool:
    """Return whether a call writes a log line."""
    function = call.func
    if not isinstance(function, ast.Attribute) or function.attr not in LEVELS:
        return False
    return isinstance(function.value, ast.Name) and function.value.id in LOGGERS


def events_of(path: Path, argument: ast.expr) -> tuple[str, ...]:
    """Return the declared events that an argument may stand for, such as ``LogEvent.DRAIN_STARTED``."""
    if isinstance(argument, ast.Name):
        return VARIABLE_EVENTS.get(str(path.relative_to(ROOT)), ())
    if isinstance(argument, ast.Constant) and argument.value in MEMBERSHIP_EVENTS:
        return (MEMBERSHIP_EVENTS[argument.value],)
    if isinstance(argument, ast.Attribute) and isinstance(argument.value, ast.Name):
        for module in DECLARING_MODULES:
            members = getattr(getattr(module, argument.value.id, None), "__members__", {})
            if argument.attr in members:
                return (members[argument.attr],)
    return ()


def written_events() -> dict[str, WrittenEvent]:
    """Return the levels and fields of each event that the program or a package logs."""
    written: dict[str, WrittenEvent] = defaultdict(WrittenEvent)
    for path in source_files():
        for call in calls(path):
            if not call.args or not (is_log_call(call) or _called_name(call) in NOTICE_FUNCTIONS):
                continue
            for event in events_of(path, call.args[0]):
                written[event].fields |= _fields_of(call)
                if is_log_call(call):
                    written[event].levels.add(LEVELS[_called_name(call)])
    return written


def _fields_of(call: ast.Call) -> set[str]:
    """Return the names of the keywords, and the keys of ``extra`` or of a literal dictionary of fields."""
    names = {keyword.arg for keyword in call.keywords if keyword.arg not in (None, "extra")}
    if is_log_call(call) and _called_name(call) == "exception":
        names.add("exception")
    literals = [keyword.value for keyword in call.keywords if keyword.arg == "extra"] + call.args[1:]
    for literal in literals:
        if isinstance(literal, ast.Dict):
            names |= {ast.literal_eval(key) for key in literal.keys if key is not None}
    return {str(name) for name in names}


def _called_name(call: ast.Call) -> str:
    function = call.func
    if isinstance(function, ast.Attribute):
        return function.attr
    return function.id if isinstance(function, ast.Name) else ""


def fields_by_connection_kind() -> dict[str, set[str]]:
    """Return the fields that log calls add to the end of a connection, by the enum member of its kind."""
    by_kind: dict[str, set[str]] = defaultdict(set)
    for path in source_files():
        for call in calls(path):
            if _called_name(call) == "log_disconnect" and len(call.args) == 3:
                by_kind[ast.unparse(call.args[0])] |= _fields_of(call)
    return by_kind
