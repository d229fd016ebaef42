"""The operators' ``[relay]`` and ``[control]`` sections: accepted values, and faults that name a key."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner

from thornjunction.cli import main
from thornjunction.runtime import control_settings
from thornjunction.runtime.control_settings import load_relay, read_control
from thornjunction.runtime.errors import ConfigError
from thornjunction.runtime.extras import load_extras
from thornjunction.settings import SettingsReader, WireError

ROOT = Path(__file__).resolve().parents[2]
COMPLETE_RELAY: dict[str, Any] = {
    "listen": "127.0.0.1:8600",
    "name": "relay-1",
    "upstreams": ["127.0.0.1:8700"],
}


def write_operators_file(folder: Path, changes: dict[str, Any], other_section: str = "") -> Path:
    """Write an operators' file with ``COMPLETE_RELAY`` and these changes; None removes a key."""
    lines = [
        f"{key} = {json.dumps(value)}"
        for key, value in (COMPLETE_RELAY | changes).items()
        if value is not None
    ]
    path = folder / "extras.toml"
    path.write_text("\n".join(["[relay]", *lines, other_section, ""]))
    return path


def test_a_complete_relay_is_accepted(tmp_path: Path) -> None:
    changes = {
        "siblings": ["127.0.0.1:8601"],
        "routers": ["r1", "r2"],
        "join_ms": 0,
        "admin_addr": "127.0.0.1:9",
    }
    settings = load_relay(write_operators_file(tmp_path, changes), {})
    assert settings is not None
    assert (settings.listen, settings.upstreams) == (("127.0.0.1", 8600), (("127.0.0.1", 8700),))
    assert (settings.siblings, settings.routers, settings.name) == (
        (("127.0.0.1", 8601),),
        ("r1", "r2"),
        "relay-1",
    )
    assert (settings.batch_window_ms, settings.purge_retention_ms, settings.admin) == (
        0.0,
        10_000.0,
        ("127.0.0.1", 9),
    )
    settings = load_relay(write_operators_file(tmp_path, {}), {"PROXY_ADMIN_ADDR": "127.0.0.1:7"})
    assert settings is not None
    assert (settings.batch_window_ms, settings.admin) == (150.0, ("127.0.0.1", 7))


def test_a_file_without_the_section_does_not_describe_a_relay(tmp_path: Path) -> None:
    path = tmp_path / "extras.toml"
    path.write_text("[metrics]\ngraphite = 'no address'\n")
    assert load_relay(path, {}) is None


def test_private_addresses_are_accepted_only_if_the_file_allows_them(tmp_path: Path) -> None:
    changes = {"listen": "10.0.0.4:8600", "private": True, "upstreams": ["10.0.0.1:8700"]}
    settings = load_relay(write_operators_file(tmp_path, changes), {})
    assert settings is not None
    assert settings.upstreams == (("10.0.0.1", 8700),)
    with pytest.raises(ConfigError, match=re.escape("relay.listen")):
        load_relay(write_operators_file(tmp_path, changes | {"private": False}), {})


@pytest.mark.parametrize(
    ("changes", "named_key"),
    [
        ({"listen": None}, "relay.listen"),
        ({"listen": "0.0.0.0:8600", "private": True}, "relay.listen"),
        ({"listen": "127.0.0.1:0"}, "relay.listen"),
        ({"name": None}, "relay.name"),
        ({"name": "two words"}, "relay.name"),
        ({"name": "x" * 33}, "relay.name"),
        ({"upstreams": []}, "relay.upstreams"),
        ({"upstreams": [7]}, "relay.upstreams"),
        ({"upstreams": ["8.8.8.8:1"], "private": True}, "relay.upstreams"),
        ({"upstreams": ["127.0.0.1:1"] * 2}, "relay.upstreams"),
        ({"upstreams": ["127.0.0.1:8600"]}, "relay.upstreams"),
        ({"upstreams": [f"127.0.0.1:{port}" for port in range(1, 18)]}, "relay.upstreams"),
        ({"siblings": ["127.0.0.1:8600"]}, "relay.siblings"),
        ({"siblings": ["127.0.0.1:8700"]}, "relay.siblings"),
        ({"routers": ["r1", "r1"]}, "relay.routers"),
        ({"routers": ["a b"]}, "relay.routers"),
        ({"routers": [f"r{number}" for number in range(2049)]}, "relay.routers"),
        ({"join_ms": 1001}, "relay.join_ms"),
        ({"join_ms": -1}, "relay.join_ms"),
        ({"hold_ms": 999}, "relay.hold_ms"),
        ({"hold_ms": "x"}, "relay.hold_ms"),
        ({"admin_addr": "8.8.8.8:1"}, "relay.admin_addr"),
        ({"upstream": ["127.0.0.1:1"]}, "relay.upstream: no such key"),
    ],
)
def test_an_error_names_the_faulty_key_of_a_relay(
    changes: dict[str, Any], named_key: str, tmp_path: Path
) -> None:
    with pytest.raises(ConfigError, match=re.escape(named_key)):
        load_relay(write_operators_file(tmp_path, changes), {})


@pytest.mark.parametrize("other", control_settings.ROUTER_SECTIONS)
def test_a_relay_file_must_not_have_sections_of_a_router(other: str, tmp_path: Path) -> None:
    with pytest.raises(ConfigError, match=rf"leave out \[{other}\]"):
        load_relay(write_operators_file(tmp_path, {}, f"[{other}]"), {})


def test_a_faulty_relay_file_ends_the_program_with_exit_code_2(tmp_path: Path) -> None:
    path = write_operators_file(tmp_path, {"hold_ms": 5})
    command = [sys.executable, "-m", "thornjunction", "run", "--extras", str(path)]
    completed = subprocess.run(
        command, env=dict(os.environ), cwd=ROOT, capture_output=True, text=True, timeout=60
    )
    assert completed.returncode == 2
    assert "relay.hold_ms" in completed.stderr
    assert "extras.toml" in completed.stderr


def test_check_needs_a_configuration_for_a_router_but_not_for_a_relay(tmp_path: Path) -> None:
    """Only a router has a configuration from the platform."""
    path = write_operators_file(tmp_path, {})
    runner = CliRunner()
    result = runner.invoke(main, ["check", "--extras", str(path)])
    assert (result.exit_code, result.output) == (0, "relay-1: a relay of 1 upstreams; ok\n")
    result = runner.invoke(main, ["check", "--extras", str(write_operators_file(tmp_path, {"listen": "x"}))])
    assert result.exit_code == 2
    assert "relay.listen" in result.output
    path.write_text("")
    assert runner.invoke(main, ["check", "--extras", str(path)]).exit_code == 2


def test_control_is_read_with_the_other_sections(tmp_path: Path) -> None:
    path = tmp_path / "extras.toml"
    path.write_text("[control]\nsources = ['127.0.0.1:1', '127.0.0.1:2']\n")
    settings = load_extras(path).control
    assert settings is not None
    assert len(settings.sources) == 2
    path.write_text("[control]\nsources = ['127.0.0.1:1', '8.8.8.8:2']\n")
    with pytest.raises(ConfigError, match=re.escape("control.sources")):
        load_extras(path)


def read_section(**settings: Any) -> control_settings.ControlSettings:
    return read_control(SettingsReader(settings, "control."))


def test_a_complete_control_is_accepted() -> None:
    settings = read_section(name="r1", sources=["127.0.0.1:1", "127.0.0.1:2"])
    assert (settings.name, settings.sources) == ("r1", (("127.0.0.1", 1), ("127.0.0.1", 2)))
    assert read_section(sources=["10.0.0.1:1"], private=True).name == ""


@pytest.mark.parametrize(
    ("settings", "named_key"),
    [
        ({}, "control.sources"),
        ({"sources": []}, "control.sources"),
        ({"sources": ["10.0.0.1:1"]}, "control.sources"),
        ({"sources": ["127.0.0.1:1"] * 2}, "control.sources"),
        ({"sources": ["127.0.0.1:1"], "name": "a b"}, "control.name"),
        ({"sources": ["127.0.0.1:1"], "nam": "ab"}, "control.nam: no such key"),
    ],
)
def test_an_error_names_the_faulty_key_of_control(settings: dict[str, Any], named_key: str) -> None:
    with pytest.raises((ConfigError, WireError), match=re.escape(named_key)):
        read_section(**settings)
