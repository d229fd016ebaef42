"""The one place where the platform's configuration is read, checked and given defaults; messages name the
faulty key.  The operators' own file: ``extras.py``."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from thornjunction import interface as api
from thornjunction.net.shelf_link import PART_MS, Limits
from thornjunction.net.wire import ProtocolError
from thornjunction.net.wire.commands import Commands, parse_address, parse_commands
from thornjunction.net.wire.resp import MAX_BULK
from thornjunction.settings import SettingsReader, WireError, parse_json, read_roles, read_settings

LEAST_SOCKETS = 3  # a third for clients, one for shelfs, one for the channel and the program's own
BUFFER_SHARE = 0.2  # of the memory; half of the least that the platform gives is the program itself


class ConfigError(Exception):
    """What is wrong with the configuration, naming the key."""


@dataclass(frozen=True, slots=True)
class Config:
    """All that the platform tells a request router."""

    name: str
    listen: tuple[str, int]
    seed: int
    cores: float
    sockets: int
    buffer_bytes: int  # of all connections together
    channel: tuple[str, int]
    known: Commands
    settings: api.Settings
    roles: Mapping[str, api.Role]
    shelves: Limits
    longest_ms: float  # the longest that any client waits
    flow_bytes_per_ms: float  # of one transfer, as ``settings.flow_kb_per_ms`` counts it; 0: not told
    operators: tuple[str, int] | None = None  # where the operators' door listens
    socket_fd: int | None = None  # the clients' listening socket, where the platform holds it
    shared_folder: str = ""  # what the process before this one could leave for it, where it does
    keys: frozenset[str] = frozenset()  # all that the file holds, by path


def load_config(environ: Mapping[str, str]) -> Config:
    """The configuration from the file that the environment names."""
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    try:
        return parse_config(Path(path).read_bytes(), environ)
    except OSError as error:
        raise ConfigError(f"PROXY_CONFIG: {path}: {error.strerror}") from error
    except ConfigError as error:
        raise ConfigError(f"{path}: {error}") from error


def parse_config(text: bytes, environ: Mapping[str, str]) -> Config:
    """The configuration from its JSON text; name and address may come from the environment."""
    try:
        return _read(SettingsReader(parse_json(text)), environ)
    except (WireError, RecursionError) as error:
        raise ConfigError(str(error)) from error


def _read(top: SettingsReader, environ: Mapping[str, str]) -> Config:
    limits, params = top.section("limits"), top.section("settings")
    sockets = int(limits.number("sockets", 1024))
    if sockets < LEAST_SOCKETS:
        raise ConfigError(f"limits.sockets: {sockets} is too few, {LEAST_SOCKETS} at least")
    settings = _settings(params)
    allowed, flow = params.section("allowed"), top.number("flow_bytes_per_s", 0.0)
    door = environ.get("PROXY_ADMIN_ADDR") or top.get("admin_addr", str, "")
    return Config(
        name=environ.get("PROXY_NAME") or top.get("name", str),
        listen=address_of("listen", environ.get("PROXY_LISTEN") or top.get("listen", str)),
        seed=_seed(top.get("seed", str, "0")),
        cores=min(max(limits.number("cores", 1.0), 0.05), 1.0),
        sockets=sockets,
        buffer_bytes=int(limits.number("memory_mb", 64.0) * 1e6 * BUFFER_SHARE),
        channel=address_of("channel", top.get("channel", str)),
        known=_known(top.get("known", dict)),
        settings=settings,
        roles=read_roles(params),
        shelves=Limits(
            max_streams=max(int(allowed.number("maxStreams", 32)), 1),
            dial_ms=allowed.number("dialTimeoutMs", 400.0),
            idle_ms=allowed.number("connIdleMs", 15_000.0),
            connections=sockets // 3,
            part_ms=PART_MS + 1000.0 * MAX_BULK / flow if flow else PART_MS,
        ),
        flow_bytes_per_ms=flow / 1000.0,
        longest_ms=max(kind.give_up_ms for kind in settings.classes),
        operators=address_of("admin_addr", door) if door else None,
        socket_fd=_descriptor("PROXY_SOCKET_FD", environ),
        keys=frozenset(_paths(top.data)),
        shared_folder=environ.get("TMPDIR", "") if environ.get("PROXY_SOCKET_FD") else "",
    )


def _paths(told: Any, path: str = "") -> Iterator[str]:
    """The keys of nested objects; those in lists don't count, nor those of ``known``, which may differ."""
    for key, value in told.items() if isinstance(told, Mapping) else ():
        yield path + key
        if key != "known":
            yield from _paths(value, f"{path}{key}.")


def check_complete(running: Config, fresh: Config) -> None:
    """A file that lacks a key of the one before it is not taken: it may have been cut off, and a default
    would stand in for what was meant."""
    gone = running.keys - fresh.keys
    if gone:
        raise ConfigError(f"{min(gone)}: missing")
    known = {kind.name for kind in fresh.settings.classes}
    if len(known) < len(fresh.settings.classes):
        raise ConfigError("settings.classes: two of one name")


def _settings(params: SettingsReader) -> api.Settings:
    try:
        return read_settings(params)
    except (TypeError, ValueError, OverflowError) as error:
        # Guards a running program against a list of the wrong things in a file that a reload brings.
        raise ConfigError(f"settings: an impossible value: {error}") from error


def address_of(key: str, text: str) -> tuple[str, int]:
    """An IPv4 address and port; ConfigError, naming the key, otherwise."""
    try:
        return parse_address(text)
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from error


def _descriptor(key: str, environ: Mapping[str, str]) -> int | None:
    text = environ.get(key, "")
    if text and not (text.isdigit() and text.isascii()):
        raise ConfigError(f"{key}: not a descriptor: {text[:80]!r}")
    return int(text) if text else None


def _seed(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError as error:
        raise ConfigError(f"seed: not a hexadecimal number: {text[:80]!r}") from error


def _known(told: Any) -> Commands:
    try:
        commands = parse_commands(told)
    except ProtocolError as error:
        raise ConfigError("known: not a list of commands") from error
    if commands.faults:  # here, unlike in the channel, somebody can mend it
        raise ConfigError(f"known: {', '.join(commands.faults)}")
    return commands
