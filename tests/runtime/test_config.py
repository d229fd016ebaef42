"""The configuration of a router: the values that are read, and the errors for faulty ones."""

from __future__ import annotations

import json
from typing import Any

import pytest

from tests.test_adapter import PARAMS
from thornjunction.runtime.config import Config, parse_config
from thornjunction.runtime.errors import ConfigError

CONFIG = {
    "name": "n1",
    "listen": "127.0.0.1:9",
    "channel": "127.0.0.1:8",
    "settings": PARAMS,
    "limits": {"sockets": 90},
    "known": {"cursor": 0, "cmds": []},
}


def parse(environment: dict[str, str], **values: Any) -> Config:
    """Parse ``CONFIG`` with these values in place of its own."""
    return parse_config(json.dumps(CONFIG | values).encode(), environment)


def test_a_configuration_is_read() -> None:
    config = parse({"PROXY_NAME": "n2"})
    assert config.name == "n2"
    assert config.listen == ("127.0.0.1", 9)
    assert config.pool_limits.max_connections == 30


def test_the_environment_overrides_the_file() -> None:
    config = parse({"PROXY_ADMIN_ADDR": "127.0.0.1:7", "PROXY_SOCKET_FD": "7", "TMPDIR": "/t"})
    assert config.admin == ("127.0.0.1", 7)
    assert config.listening_descriptor == 7
    assert config.handover_folder == "/t"


def test_an_error_names_a_malformed_descriptor() -> None:
    with pytest.raises(ConfigError, match="PROXY_SOCKET_FD"):
        parse({"PROXY_SOCKET_FD": "-1"})


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("admin_addr", "x"),
        ("listen", "x"),
        ("channel", "1.2.3.4:0"),
        ("seed", "z"),
        ("known", {"cmds": 3}),
        ("limits", {"sockets": -1}),
    ],
)
def test_an_error_names_the_key_of_a_malformed_value(key: str, value: object) -> None:
    with pytest.raises(ConfigError, match=key):
        parse({}, **{key: value})
