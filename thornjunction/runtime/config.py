"""Reads and checks the platform's configuration and applies defaults; error messages name the faulty key.

The operators' file is read in ``extras.py``.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from thornjunction import interface as api
from thornjunction.net.upstream.context import DEFAULT_PARTIAL_RESPONSE_TIMEOUT_MS, PoolLimits
from thornjunction.net.wire import ProtocolError
from thornjunction.net.wire.commands import Commands, parse_commands
from thornjunction.net.wire.resp import MAX_BULK
from thornjunction.runtime.addresses import Address, read_address
from thornjunction.runtime.config_keys import iterate_key_paths, missing_keys
from thornjunction.runtime.errors import (
    ConfigError,
    FaultyFileError,
    FaultyKeyError,
    MissingConfigPathError,
    MissingKeyError,
    UnreadableConfigError,
)
from thornjunction.settings import SettingsReader, WireError, parse_json, read_roles, read_settings

# Smallest number of sockets: one each for clients, cache servers and the command channel.
MIN_SOCKETS = 3

# Number of sockets that the process may open, unless configured.
DEFAULT_SOCKETS = 1024

# One third of the sockets is reserved for connections to cache servers.
UPSTREAM_SOCKETS_DIVISOR = 3

# Share of a processor core that the process may use, unless configured.
DEFAULT_CORES = 1.0

# Smallest share of a processor core; a smaller configured value is raised to it.
MIN_CORES = 0.05

# Greatest share of a processor core; a greater value is lowered to it, since the process has one thread.
MAX_CORES = 1.0

# Memory limit of the process, unless configured.
DEFAULT_MEMORY_MB = 64.0

# Bytes in a megabyte; the platform's configuration uses decimal megabytes.
BYTES_PER_MB = 1e6

# Share of the memory that buffers may use.  The program itself takes half of the smallest memory that the
# platform grants.
BUFFER_SHARE = 0.2

# Concurrent requests on one connection to a cache server, unless configured.
DEFAULT_MAX_STREAMS = 32

# Timeout of an attempt to connect to a cache server, unless configured.
DEFAULT_CONNECT_TIMEOUT_MS = 400.0

# Time after which an idle connection to a cache server is closed, unless configured.
DEFAULT_IDLE_MS = 15_000.0

# Number of characters of a faulty text that an error message shows.
MAX_SHOWN_CHARACTERS = 80


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration that the platform gives a request router.

    Attributes:
        name: the router's name.
        listen: the address to which clients connect.
        seed: seed of the random number generators.
        cores: share of a processor core that the process may use.
        sockets: number of sockets that the process may open.
        buffer_bytes: bytes that all connections together may buffer.
        discovery: the address to which the command channel connects.
        initial_commands: the events that are known before the command channel's first response.
        settings: the settings of the routing decisions.
        roles: roles of servers, by the names that the endpoint list uses.
        pool_limits: limits of the upstream connection pool.
        longest_wait_ms: the longest client timeout of any request class.
        flow_bytes_per_ms: rate of one transfer in bytes, as ``settings.transfer_rate_kb_per_ms`` is in KB; 0:
            not known.
        admin: the address of the admin endpoint, or None if there is none.
        listening_descriptor: descriptor of the clients' listening socket, if the platform opened it.
        handover_folder: folder shared with the process that this one replaces; empty if it replaces none.
        key_paths: paths of the keys in the file (``config_keys.iterate_key_paths``).
    """

    name: str
    listen: Address
    seed: int
    cores: float
    sockets: int
    buffer_bytes: int
    discovery: Address
    initial_commands: Commands
    settings: api.Settings
    roles: Mapping[str, api.Role]
    pool_limits: PoolLimits
    longest_wait_ms: float
    flow_bytes_per_ms: float
    admin: Address | None = None
    listening_descriptor: int | None = None
    handover_folder: str = ""
    key_paths: frozenset[str] = frozenset()


def load_config(environ: Mapping[str, str]) -> Config:
    """Read the file that ``PROXY_CONFIG`` names.  Raises ConfigError, which names the file and the key."""
    path = environ.get("PROXY_CONFIG")
    if not path:
        raise MissingConfigPathError
    try:
        return parse_config(Path(path).read_bytes(), environ)
    except OSError as error:
        raise UnreadableConfigError(path, error) from error
    except ConfigError as error:
        raise FaultyFileError(path, error) from error


def parse_config(text: bytes, environ: Mapping[str, str]) -> Config:
    """Parse the configuration from JSON; the environment may override its name and addresses."""
    try:
        return _read_config(SettingsReader(parse_json(text)), environ)
    except (WireError, RecursionError) as error:
        raise ConfigError(str(error)) from error


def check_complete(running: Config, reloaded: Config) -> None:
    """Raise ConfigError if a reloaded file lacks keys, for instance because it was truncated.

    For a key that the running configuration has and the new file lacks, a default would replace the intended
    value.  Two request classes with the same name are rejected as well.
    """
    missing = missing_keys(running.key_paths, reloaded.key_paths)
    if missing:
        raise MissingKeyError(missing[0])
    class_names = {request_class.name for request_class in reloaded.settings.classes}
    if len(class_names) < len(reloaded.settings.classes):
        raise FaultyKeyError("settings.classes", "two classes have the same name")


def _read_config(top: SettingsReader, environ: Mapping[str, str]) -> Config:
    limits = top.section("limits")
    params = top.section("settings")
    sockets = _read_sockets(limits)
    settings = _read_settings(params)
    flow_bytes_per_s = top.number("flow_bytes_per_s", 0.0)
    return Config(
        name=environ.get("PROXY_NAME") or top.get("name", str),
        listen=read_address("listen", environ.get("PROXY_LISTEN") or top.get("listen", str)),
        seed=_parse_seed(top.get("seed", str, "0")),
        cores=min(max(limits.number("cores", DEFAULT_CORES), MIN_CORES), MAX_CORES),
        sockets=sockets,
        buffer_bytes=int(limits.number("memory_mb", DEFAULT_MEMORY_MB) * BYTES_PER_MB * BUFFER_SHARE),
        discovery=read_address("channel", top.get("channel", str)),
        initial_commands=_read_initial_commands(top.get("known", dict)),
        settings=settings,
        roles=read_roles(params),
        pool_limits=_read_pool_limits(params.section("allowed"), sockets, flow_bytes_per_s),
        longest_wait_ms=max(request_class.client_timeout_ms for request_class in settings.classes),
        flow_bytes_per_ms=flow_bytes_per_s / 1000.0,
        admin=_read_admin_address(top, environ),
        listening_descriptor=_read_descriptor("PROXY_SOCKET_FD", environ),
        handover_folder=environ.get("TMPDIR", "") if environ.get("PROXY_SOCKET_FD") else "",
        key_paths=frozenset(iterate_key_paths(top.data)),
    )


def _read_sockets(limits: SettingsReader) -> int:
    sockets = int(limits.number("sockets", DEFAULT_SOCKETS))
    if sockets < MIN_SOCKETS:
        raise FaultyKeyError("limits.sockets", f"{sockets} is too few, at least {MIN_SOCKETS} are needed")
    return sockets


def _read_pool_limits(allowed: SettingsReader, sockets: int, flow_bytes_per_s: float) -> PoolLimits:
    partial_response_timeout_ms = DEFAULT_PARTIAL_RESPONSE_TIMEOUT_MS
    if flow_bytes_per_s:
        partial_response_timeout_ms += 1000.0 * MAX_BULK / flow_bytes_per_s
    return PoolLimits(
        max_streams=max(int(allowed.number("maxStreams", DEFAULT_MAX_STREAMS)), 1),
        connect_timeout_ms=allowed.number("dialTimeoutMs", DEFAULT_CONNECT_TIMEOUT_MS),
        idle_timeout_ms=allowed.number("connIdleMs", DEFAULT_IDLE_MS),
        max_connections=sockets // UPSTREAM_SOCKETS_DIVISOR,
        partial_response_timeout_ms=partial_response_timeout_ms,
    )


def _read_admin_address(top: SettingsReader, environ: Mapping[str, str]) -> Address | None:
    text = environ.get("PROXY_ADMIN_ADDR") or top.get("admin_addr", str, "")
    return read_address("admin_addr", text) if text else None


def _read_settings(params: SettingsReader) -> api.Settings:
    try:
        return read_settings(params)
    except (TypeError, ValueError, OverflowError) as error:
        # A reloaded file with list items of a wrong type must not end a running program.
        raise FaultyKeyError("settings", f"an invalid value: {error}") from error


def _read_descriptor(key: str, environ: Mapping[str, str]) -> int | None:
    text = environ.get(key, "")
    if not text:
        return None
    if not (text.isdigit() and text.isascii()):
        raise FaultyKeyError(key, f"not a file descriptor: {text[:MAX_SHOWN_CHARACTERS]!r}")
    return int(text)


def _parse_seed(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError as error:
        raise FaultyKeyError("seed", f"not a hexadecimal number: {text[:MAX_SHOWN_CHARACTERS]!r}") from error


def _read_initial_commands(data: Any) -> Commands:
    try:
        commands = parse_commands(data)
    except ProtocolError as error:
        raise FaultyKeyError("known", "not a list of commands") from error
    if commands.faults:  # unlike an event of the command channel, a file can be corrected by its author
        raise FaultyKeyError("known", ", ".join(commands.faults))
    return commands
