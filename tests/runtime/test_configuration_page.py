"""The table of ``docs/CONFIGURATION.md`` and the readers of the operators' file agree with each other."""

from __future__ import annotations

import json
import re
import tomllib
from collections.abc import Iterator
from copy import deepcopy
from dataclasses import MISSING, dataclass, fields
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import pytest
from fleet_membership import MembershipSettings
from joserfc.jwk import OctKey

from thornjunction.runtime.control_settings import load_relay
from thornjunction.runtime.errors import ConfigError
from thornjunction.runtime.extras import load_extras
from thornjunction.settings import WireError

PAGE = Path(__file__).resolve().parents[2] / "docs" / "CONFIGURATION.md"
COLUMNS = ["section", "key", "type", "unit", "default", "bounds", "effect", "reload"]
# Recorded in place of a default for a key that a reader only checks for presence.
NO_DEFAULT = object()
# Alternative keys, one of which is required: removing the one that is set is an error.
ALTERNATIVES = {("signed", "keyset"), ("signed", "keys")}

# The keys of ``[fleet.timings]``: the settings of the membership that have a default.
TIMINGS = {field.name: field.default for field in fields(MembershipSettings) if field.default is not MISSING}
KEY_SET_FILE = "keys.json"
KEY_FILE = "key.json"
SECRET_FILE = "secret"
SIGNED = {
    "listen": "127.0.0.1:8480",
    "base": "https://cameras.example",
    "issuers": ["Reefline"],
    "audience": "thornjunction",
    "algorithms": ["HS256"],
    "sign_with": "a",
    "skew_s": 5,
    "keyset": KEY_SET_FILE,
    "keys_every_s": 60,
    "retire": {"a": datetime(2100, 1, 1, tzinfo=UTC)},
    "replay_cap_mb": 1,
    "replay_horizon_s": 3600,
    "forwarding": {"header": "forwarded", "trusted": ["127.0.0.0/8"]},
    "tls": {"cert": KEY_FILE, "key": KEY_FILE, "every_s": 60},
    "gossip": {"listen": "127.0.0.1:8490", "peers": ["127.0.0.1:8491"], "secret_file": SECRET_FILE},
}
LISTED_KEY = {"kid": "a", "algorithm": "HS256", "file": KEY_FILE, "until": datetime(2100, 1, 1, tzinfo=UTC)}
ROUTER_FILE: dict[str, Any] = {
    "signed": SIGNED,
    "metrics": {
        "interval_s": 10,
        "prefix": "x",
        "graphite": "127.0.0.1:2003",
        "collectd": "127.0.0.1:25826",
    },
    "fleet": {
        "listen": "127.0.0.1:8500",
        "advertise": "127.0.0.1:8500",
        "private": False,
        "name": "router-1",
        "fleet": "north",
        "secret_file": SECRET_FILE,
        "seeds": ["127.0.0.1:8501"],
        "voters": ["router-1"],
        "data": "fleet",
        "timings": TIMINGS,
    },
    "control": {"sources": ["127.0.0.1:8600"], "name": "router-1", "private": False},
}
LISTED_KEYS_FILE: dict[str, Any] = {
    "signed": {key: value for key, value in SIGNED.items() if key != "keyset"} | {"keys": [LISTED_KEY]}
}
RELAY_FILE: dict[str, Any] = {
    "relay": {
        "listen": "127.0.0.1:8600",
        "name": "relay-1",
        "upstreams": ["127.0.0.1:8700"],
        "siblings": ["127.0.0.1:8601"],
        "routers": ["router-1"],
        "join_ms": 150,
        "hold_ms": 10_000,
        "admin_addr": "127.0.0.1:9100",
        "private": False,
    }
}
COMPLETE_FILES = [ROUTER_FILE, LISTED_KEYS_FILE, RELAY_FILE]

# Section and key, for example ``("signed.tls", "cert")``.
KeyName = tuple[str, str]


@dataclass(frozen=True, slots=True)
class Row:
    """One row of the page's table; section and key are without Markdown's code marks."""

    name: KeyName
    kind: str
    default: str
    bounds: str

    @property
    def is_required(self) -> bool:
        """Whether the page states that a section without this key is rejected."""
        return self.default.startswith("required")


def read_rows() -> list[Row]:
    """Return the rows of the table under the heading "All keys"."""
    text = PAGE.read_text(encoding="utf-8").partition("\n## All keys\n")[2]
    lines = [line for line in text.splitlines() if line.startswith("|")]
    table = [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]
    assert table[0] == COLUMNS
    return [_read_row(dict(zip(COLUMNS, cells, strict=True))) for cells in table[2:]]


def _read_row(cells: dict[str, str]) -> Row:
    section = cells["section"].strip("`[]")
    return Row((section, cells["key"].strip("`")), cells["type"], cells["default"], cells["bounds"])


ROWS = read_rows()


class RecordingTable(dict[str, Any]):
    """A TOML table that records which keys a reader looks up, and with which default.

    ``defaults`` is shared by all tables of a file; nested tables and lists of tables are wrapped too.
    """

    def __init__(self, table: dict[str, Any], section: str, defaults: dict[KeyName, Any]) -> None:
        self.section = section
        self.defaults = defaults
        super().__init__({key: self._wrap(key, value) for key, value in table.items()})

    def _wrap(self, key: str, value: Any) -> Any:
        path = f"{self.section}.{key}".lstrip(".")
        if isinstance(value, dict):
            return RecordingTable(value, path, self.defaults)
        if isinstance(value, list) and value and isinstance(value[0], dict):
            return [RecordingTable(item, f"{path}[]", self.defaults) for item in value]
        return value

    def __contains__(self, key: object) -> bool:
        self.defaults.setdefault((self.section, str(key)), NO_DEFAULT)
        return super().__contains__(key)

    def get(self, key: str, default: Any = None) -> Any:
        self.defaults[self.section, key] = default
        return super().get(key, default)


@pytest.fixture
def extras_path(tmp_path: Path) -> Path:
    """The path of an operators' file; the files to which it refers are in the same folder."""
    jwk = {"kid": "a", "alg": "HS256", **OctKey.import_key("x" * 40).as_dict()}
    (tmp_path / KEY_SET_FILE).write_text(json.dumps({"keys": [jwk]}))
    (tmp_path / KEY_FILE).write_text(json.dumps(jwk))
    (tmp_path / SECRET_FILE).write_text("x" * 32)
    path = tmp_path / "extras.toml"
    path.write_text("")
    return path


def load_file(path: Path, tables: dict[str, Any], monkeypatch: pytest.MonkeyPatch) -> None:
    """Read a file with these tables in the way that the program reads it."""
    with monkeypatch.context() as patched:
        patched.setattr(tomllib, "loads", lambda _text: tables)
        if "relay" in tables:
            assert load_relay(path, {}) is not None
        else:
            load_extras(path)


@pytest.fixture
def read_defaults(extras_path: Path, monkeypatch: pytest.MonkeyPatch) -> dict[KeyName, Any]:
    """The keys that the readers look up in the complete files, with the default of each key."""
    defaults: dict[KeyName, Any] = {}
    for tables in COMPLETE_FILES:
        load_file(extras_path, RecordingTable(tables, "", defaults), monkeypatch)
    return {_page_name(name): default for name, default in defaults.items() if not _is_section(name)}


def _page_name(name: KeyName) -> KeyName:
    """Return the name under which the page lists a key; inside a list of tables as ``keys[].kid``."""
    section, key = name
    if not section.endswith("[]"):
        return name
    parent, _, items = section.rpartition(".")
    return parent, f"{items}.{key}"


def _is_section(name: KeyName) -> bool:
    """Return whether this is a section instead of a key, or an entry of ``retire``, whose key is any kid."""
    section, key = name
    return f"{section}.{key}".lstrip(".") in {row.name[0] for row in ROWS} or section == "signed.retire"


def test_each_key_is_listed_once() -> None:
    names = [row.name for row in ROWS]
    assert sorted(set(names)) == sorted(names)


def test_page_lists_exactly_the_keys_that_the_readers_accept(read_defaults: dict[KeyName, Any]) -> None:
    assert {row.name for row in ROWS} == set(read_defaults)


def test_the_timings_are_the_settings_of_the_membership_that_have_a_default() -> None:
    assert {key for section, key in (row.name for row in ROWS) if section == "fleet.timings"} == set(TIMINGS)


@pytest.mark.parametrize("row", ROWS, ids=lambda row: ".".join(row.name))
def test_default_agrees_with_the_reader(row: Row, read_defaults: dict[KeyName, Any]) -> None:
    section, key = row.name
    default = TIMINGS[key] if section == "fleet.timings" else read_defaults[row.name]
    if default is None or default is NO_DEFAULT:
        assert row.is_required or row.default == "none"
        return
    shown = tomllib.loads(f"value = {row.default.strip('`')}")["value"]
    assert shown == (list(default) if isinstance(default, tuple) else default)


def copy_file_with_key(row: Row) -> dict[str, Any]:
    """Return a copy of the complete file that contains the key of a row."""
    return next(deepcopy(tables) for tables in COMPLETE_FILES if _find_table(tables, row) is not None)


def _find_table(tables: dict[str, Any], row: Row) -> dict[str, Any] | None:
    """Return the table that contains the key of a row, or None."""
    section, key = row.name
    table: Any = tables
    for part in section.split("."):
        table = table.get(part, {})
    if "[]." in key:
        list_key, _, key = key.partition("[].")
        table = table.get(list_key, [{}])[0]
    return table if key in table else None


def set_key(tables: dict[str, Any], row: Row, value: Any) -> dict[str, Any]:
    """Set the key of a row in a file; the value None removes the key."""
    table = _find_table(tables, row)
    assert table is not None
    key = row.name[1].rpartition(".")[2]
    if value is None:
        del table[key]
    else:
        table[key] = value
    return tables


@pytest.mark.parametrize("row", ROWS, ids=lambda row: ".".join(row.name))
def test_leaving_out_a_key_fails_only_if_it_is_required(
    row: Row, extras_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    tables = set_key(copy_file_with_key(row), row, None)
    if not row.is_required:
        load_file(extras_path, tables, monkeypatch)
        return
    assert ("unless" in row.default) == (row.name in ALTERNATIVES)
    with pytest.raises((ConfigError, WireError)):
        load_file(extras_path, tables, monkeypatch)


def value_of_wrong_type(row: Row) -> Any:
    """Return a value whose type is not the type of the row."""
    return "x" if row.kind in ("number", "boolean") else 5


@pytest.mark.parametrize("row", ROWS, ids=lambda row: ".".join(row.name))
def test_a_value_of_another_type_is_rejected(
    row: Row, extras_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    tables = set_key(copy_file_with_key(row), row, value_of_wrong_type(row))
    with pytest.raises((ConfigError, WireError)):
        load_file(extras_path, tables, monkeypatch)


def bounded_rows() -> Iterator[tuple[Row, float, float]]:
    """Yield the rows whose bounds are two numbers, with these numbers."""
    for row in ROWS:
        bounds = re.fullmatch(r"([\d.]+) to ([\d.]+)", row.bounds)
        if bounds is not None:
            yield row, float(bounds[1]), float(bounds[2])


@pytest.mark.parametrize(("row", "minimum", "maximum"), list(bounded_rows()))
def test_bounds_agree_with_the_reader(
    row: Row, minimum: float, maximum: float, extras_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    load_file(extras_path, set_key(copy_file_with_key(row), row, minimum), monkeypatch)
    load_file(extras_path, set_key(copy_file_with_key(row), row, maximum), monkeypatch)
    for outside in (minimum - 0.001, maximum + 0.001):
        with pytest.raises((ConfigError, WireError)):
            load_file(extras_path, set_key(copy_file_with_key(row), row, outside), monkeypatch)
