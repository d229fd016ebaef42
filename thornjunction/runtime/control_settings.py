"""The ``[control]`` and ``[relay]`` sections of the operators' file: read and checked.

Messages name the faulty key.  Imported only where there is such a file.
"""

from __future__ import annotations

import tomllib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from importlib.util import find_spec
from pathlib import Path

from thornjunction.runtime.addresses import Address, check_name, read_address, read_local_address
from thornjunction.runtime.errors import ConfigError, FaultyFileError, FaultyKeyError, MissingPackageError
from thornjunction.settings import SettingsReader, WireError

# Sources that one router or relay may poll.
MAX_SOURCES = 16

# Routers that a relay may expect.
MAX_ROUTERS = 2048

# How long a relay holds the first event to send others with it, unless configured.
DEFAULT_BATCH_WINDOW_MS = 150.0

# Longest batch window that may be configured.
MAX_BATCH_WINDOW_MS = 1_000.0

# How long a relay keeps a purge, unless configured.
DEFAULT_PURGE_RETENTION_MS = 10_000.0

# Shortest purge retention that may be configured.
MIN_PURGE_RETENTION_MS = 1_000.0

# Longest purge retention that may be configured.
MAX_PURGE_RETENTION_MS = 60_000.0

# Sections that a relay's file may not have.
ROUTER_SECTIONS = ("signed", "metrics", "fleet", "control")

# Keys of ``[control]``.
CONTROL_KEYS = ("name", "sources", "private")

# Keys of ``[relay]``.
RELAY_KEYS = (
    "listen",
    "name",
    "upstreams",
    "siblings",
    "routers",
    "join_ms",
    "hold_ms",
    "admin_addr",
    "private",
)


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """``[control]``: the sources that this router polls instead of the configuration's ``channel``.

    Attributes:
        name: the router's name in its polls; empty: its name in the configuration.
        sources: addresses of discovery services or relays, in the operators' order.
    """

    name: str
    sources: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """``[relay]``: this process is a relay and nothing else.

    Attributes:
        listen: the address that routers and relays poll.
        name: the relay's name.
        upstreams: addresses that it polls, in the operators' order.
        siblings: relays that are asked for a complete state where no upstream has one.
        routers: names of the expected routers, reported as missing until they poll.
        batch_window_ms: how long the first event is held to send others with it.
        purge_retention_ms: how long a purge is kept.
        admin: the address of the admin endpoint; None: there is none.
    """

    listen: Address
    name: str
    upstreams: tuple[Address, ...]
    siblings: tuple[Address, ...] = ()
    routers: tuple[str, ...] = ()
    batch_window_ms: float = DEFAULT_BATCH_WINDOW_MS
    purge_retention_ms: float = DEFAULT_PURGE_RETENTION_MS
    admin: Address | None = None


def read_control(params: SettingsReader) -> ControlSettings:
    """Read the section.  Raises ConfigError or WireError."""
    _check_keys(params, CONTROL_KEYS)
    allow_private = params.get("private", bool, False)
    name = params.get("name", str, "")
    if name:
        check_name("control.name", name)
    sources = _sources("control.sources", params.values("sources", str, 1), allow_private)
    return ControlSettings(name, sources)


def load_relay(path: Path, environ: Mapping[str, str]) -> RelaySettings | None:
    """Read the relay that a file describes; None where it has no ``[relay]``.

    ``PROXY_ADMIN_ADDR`` overrides its ``admin_addr``, as it does a router's.  Reads that section alone: a
    relay loads no library of the others.  Raises ConfigError, naming file and key.
    """
    try:
        top = SettingsReader(tomllib.loads(path.read_text(encoding="utf-8")))
        if "relay" not in top.data:
            return None
        return _load_relay(top, environ)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, WireError, ConfigError) as error:
        raise FaultyFileError(path.name, error) from error


def _load_relay(top: SettingsReader, environ: Mapping[str, str]) -> RelaySettings:
    if find_spec("control_relay") is None:
        raise MissingPackageError("relay")
    settings = read_relay(top)
    admin = environ.get("PROXY_ADMIN_ADDR", "")
    if not admin:
        return settings
    return replace(settings, admin=read_address("PROXY_ADMIN_ADDR", admin))


def read_relay(top: SettingsReader) -> RelaySettings:
    """Read the file's section of a relay.  Raises ConfigError or WireError."""
    for section in ROUTER_SECTIONS:
        if section in top.data:
            raise FaultyKeyError("relay", f"a relay is no router, leave out [{section}]")
    params = top.section("relay")
    _check_keys(params, RELAY_KEYS)
    allow_private = params.get("private", bool, False)
    name = params.get("name", str)
    check_name("relay.name", name)
    admin = params.get("admin_addr", str, "")
    settings = RelaySettings(
        read_local_address("relay.listen", params.get("listen", str), allow_private),
        name,
        _sources("relay.upstreams", params.values("upstreams", str, 1), allow_private),
        _sources("relay.siblings", params.values("siblings", str), allow_private),
        _routers(params.values("routers", str)),
        batch_window_ms=_within(params, "join_ms", DEFAULT_BATCH_WINDOW_MS, 0.0, MAX_BATCH_WINDOW_MS),
        purge_retention_ms=_within(
            params, "hold_ms", DEFAULT_PURGE_RETENTION_MS, MIN_PURGE_RETENTION_MS, MAX_PURGE_RETENTION_MS
        ),
        admin=read_local_address("relay.admin_addr", admin, allow_private) if admin else None,
    )
    _check_sources(settings)
    return settings


def _check_sources(settings: RelaySettings) -> None:
    if settings.listen in settings.upstreams:
        raise FaultyKeyError("relay.upstreams", "names this relay's own address")
    if settings.listen in settings.siblings:
        raise FaultyKeyError("relay.siblings", "names this relay's own address")
    if set(settings.upstreams) & set(settings.siblings):
        raise FaultyKeyError("relay.siblings", "one of them is an upstream too")


def _check_keys(params: SettingsReader, known: Sequence[str]) -> None:
    """Reject unknown keys: for a misspelt one its default would be used unnoticed."""
    unknown = sorted(params.data.keys() - set(known))
    if unknown:
        raise FaultyKeyError(f"{params.path}{unknown[0]}", "no such key")


def _sources(key: str, texts: Sequence[str], allow_private: bool) -> tuple[Address, ...]:
    addresses = tuple(read_local_address(key, text, allow_private) for text in texts)
    if len(set(addresses)) < len(addresses) or len(addresses) > MAX_SOURCES:
        raise FaultyKeyError(key, f"one address twice, or more than {MAX_SOURCES}")
    return addresses


def _routers(names: Sequence[str]) -> tuple[str, ...]:
    for name in names:
        check_name("relay.routers", name)
    if len(set(names)) < len(names) or len(names) > MAX_ROUTERS:
        raise FaultyKeyError("relay.routers", f"one name twice, or more than {MAX_ROUTERS}")
    return tuple(names)


def _within(params: SettingsReader, name: str, default: float, minimum: float, maximum: float) -> float:
    value = params.number(name, default)
    if not minimum <= value <= maximum:
        raise FaultyKeyError(f"{params.path}{name}", f"not within {minimum:.0f} and {maximum:.0f} ms")
    return value
