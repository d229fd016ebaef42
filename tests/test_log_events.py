"""Log events: each is declared, named by the rule, and listed in the table of the on-call page."""

from __future__ import annotations

import ast
import re
from dataclasses import dataclass
from pathlib import Path

import pytest

from tests import log_event_calls
from thornjunction.net.event_loop import disconnect_reasons
from thornjunction.net.event_loop.disconnect_reasons import ConnectionKind

ON_CALL_PAGE = log_event_calls.ROOT / "docs" / "ON-CALL.md"

EVENT_COLUMNS = "| event | level | fields | meaning | what to do |"

KIND_COLUMNS = "| kind | meaning | fields |"

# An event name is a noun and a participle or an adjective that names a state.
EVENT_NAME = re.compile(r"[a-z]+(?:_[a-z]+)*_(?:[a-z]+ed|listening|ready|unknown)")

# Fields for the end of a poller's connection, which the poller table counts and logs, and which has no slot.
POLLER_FIELDS = {"count", "open_connections"}

# Fields for the end of any other connection.
COMMON_CLOSE_FIELDS = {"code", "kind", "slot"}


@dataclass(frozen=True, slots=True)
class TableRow:
    """The cells of a row of a Markdown table."""

    cells: tuple[str, ...]

    def words(self, column: int) -> set[str]:
        """Return the names in a cell that holds a comma-separated list."""
        return set(re.findall(r"[a-z_]+", self.cells[column]))


def table_rows(header: str) -> dict[str, TableRow]:
    """Return the rows of the table with this header, by the name in their first cell."""
    lines = ON_CALL_PAGE.read_text().splitlines()
    rows: dict[str, TableRow] = {}
    for line in lines[lines.index(header) + 2 :]:
        if not line.startswith("|"):
            break
        cells = tuple(cell.strip() for cell in line.strip("|").split("|"))
        assert cells[0] not in rows, f"{cells[0]} is listed twice"
        rows[cells[0].strip("`")] = TableRow(cells)
    return rows


def log_calls() -> list[tuple[Path, ast.Call]]:
    return [
        (path, call)
        for path in log_event_calls.source_files()
        for call in log_event_calls.calls(path)
        if log_event_calls.is_log_call(call)
    ]


def test_each_log_call_names_a_declared_event() -> None:
    undeclared = [
        f"{path}:{call.lineno}: {ast.unparse(call)}"
        for path, call in log_calls()
        if not call.args or not log_event_calls.events_of(path, call.args[0])
    ]
    assert not undeclared


def test_each_logger_is_named_as_the_check_expects() -> None:
    """Guards the other checks of this file, which find log calls by the names of the loggers."""
    loggers = {
        ast.unparse(node.targets[0])
        for path in log_event_calls.source_files()
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Assign)
        and re.match(r"(logging\.getLogger|get_logger)\(", ast.unparse(node.value))
    }
    assert loggers == log_event_calls.LOGGERS | {"root"}  # ``root`` is only given the handler


@pytest.mark.parametrize("event", sorted(log_event_calls.declared_events()))
def test_an_event_is_a_noun_and_a_verb_or_state(event: str) -> None:
    assert EVENT_NAME.fullmatch(event)


def test_each_declared_event_is_logged() -> None:
    assert log_event_calls.written_events().keys() == log_event_calls.declared_events().keys()


def test_the_table_holds_each_event_and_no_other() -> None:
    assert table_rows(EVENT_COLUMNS).keys() == log_event_calls.declared_events().keys()


@pytest.mark.parametrize(("event", "written"), sorted(log_event_calls.written_events().items()))
def test_the_table_gives_level_fields_and_meaning(event: str, written: log_event_calls.WrittenEvent) -> None:
    row = table_rows(EVENT_COLUMNS)[event]
    assert row.words(1) == written.levels
    fields = COMMON_CLOSE_FIELDS if event == "connection_closed" else written.fields
    assert row.words(2) == fields
    assert row.cells[3] == log_event_calls.declared_events()[event]


def test_the_table_of_connection_kinds_is_complete() -> None:
    meanings = log_event_calls.connection_kinds(Path(str(disconnect_reasons.__file__)))
    rows = table_rows(KIND_COLUMNS)
    assert rows.keys() == meanings.keys() == set(ConnectionKind)
    assert {kind: row.cells[1] for kind, row in rows.items()} == meanings


def test_the_table_of_connection_kinds_gives_their_fields() -> None:
    by_member = log_event_calls.fields_by_connection_kind()
    client_fields = by_member.pop("self.kind")
    expected = {str(kind): by_member.pop(f"ConnectionKind.{kind.name}", set()) for kind in ConnectionKind}
    expected[ConnectionKind.POLLER] = POLLER_FIELDS
    expected[ConnectionKind.CLIENT_FASTCGI] = client_fields
    expected[ConnectionKind.CLIENT_SIGNED] = client_fields
    assert not by_member
    assert {kind: row.words(2) for kind, row in table_rows(KIND_COLUMNS).items()} == expected
