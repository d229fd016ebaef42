"""The one place where configuration is read, checked and given defaults; messages name the faulty key."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from thornjunction import interface as api
from thornjunction.net.shelves import Limits
from thornjunction.net.wire import ProtocolError
from thornjunction.net.wire.commands import Commands, parse_address, read_commands
from thornjunction.settings import Params, WireError, parse_json, read_roles, read_settings


class ConfigError(Exception):
    """What is wrong with the configuration, naming the key."""


@dataclass(frozen=True, slots=True)
class Config:
    """All that the platform tells a request router."""

    name: str
    listen: tuple[str, int]
    seed: int
    sockets: int
    channel: tuple[str, int]
    known: Commands
    settings: api.Settings
    roles: Mapping[str, api.Role]
    shelves: Limits
    longest_ms: float  # the longest that any client waits


def load_config(environ: Mapping[str, str]) -> Config:
    """The configuration from the file that the environment names."""
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        raise ConfigError(f"PROXY_CONFIG: {error.strerror}") from error
    return parse_config(text, environ)


def parse_config(text: bytes, environ: Mapping[str, str]) -> Config:
    """The configuration from its JSON text; name and address may come from the environment."""
    try:
        return _read(Params(parse_json(text)), environ)
    except WireError as error:
        raise ConfigError(str(error)) from error


def _read(top: Params, environ: Mapping[str, str]) -> Config:
    limits, params = top.below("limits"), top.below("settings")
    sockets = int(limits.number("sockets", 1024))
    settings = read_settings(params)
    allowed = params.below("allowed")
    return Config(
        name=environ.get("PROXY_NAME") or top.get("name", str),
        listen=_address("listen", environ.get("PROXY_LISTEN") or top.get("listen", str)),
        seed=_seed(top.get("seed", str, "0")),
        sockets=sockets,
        channel=_address("channel", top.get("channel", str)),
        known=_known(top.get("known", dict)),
        settings=settings,
        roles=read_roles(params),
        shelves=Limits(
            max_streams=max(int(allowed.number("maxStreams", 32)), 1),
            dial_ms=allowed.number("dialTimeoutMs", 400.0),
            idle_ms=allowed.number("connIdleMs", 15_000.0),
            connections=sockets // 3,
        ),
        longest_ms=max(kind.give_up_ms for kind in settings.classes),
    )


def _address(key: str, text: str) -> tuple[str, int]:
    try:
        return parse_address(text)
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from error


def _seed(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError as error:
        raise ConfigError(f"seed: not a hexadecimal number: {text[:80]!r}") from error


def _known(told: Any) -> Commands:
    try:
        return read_commands(told)
    except ProtocolError as error:
        raise ConfigError("known: not a list of commands") from error
