"""Reads and checks the ``[control]`` and ``[relay]`` sections of the operators' file.

Error messages name the faulty key.  This module is imported only if there is an operators' file.
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

# Most sources that one router or relay may be configured to poll.
MAX_SOURCES = 16

# Most routers that a relay may be configured to expect.
MAX_ROUTERS = 2048

# How long a relay delays the first event so that later ones join its response, unless configured.
DEFAULT_BATCH_WINDOW_MS = 150.0

# Longest batch window that may be configured.
MAX_BATCH_WINDOW_MS = 1_000.0

# How long a relay keeps a purge, unless configured.
DEFAULT_PURGE_RETENTION_MS = 10_000.0

# Shortest purge retention that may be configured.
MIN_PURGE_RETENTION_MS = 1_000.0

# Longest purge retention that may be configured.
MAX_PURGE_RETENTION_MS = 60_000.0

# Sections of a router, which the operators' file of a relay must not have.
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
        name: the router's name in its polls; empty to use its name in the configuration.
        sources: addresses of discovery services or relays, in the operators' order.
    """

    name: str
    sources: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """``[relay]``: this process is a relay and not a router.

    Attributes:
        listen: the address that routers and other relays poll.
        name: the relay's name.
        upstreams: addresses that this relay polls, in the operators' order.
        siblings: relays that are asked for a complete state if no upstream has one.
        routers: names of the expected routers, which are reported as missing until they poll.
        batch_window_ms: how long the first event is delayed so that later ones join its response.
        purge_retention_ms: how long a purge is kept.
        admin: the address of the admin endpoint, or None if there is none.
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
    """Read the section ``[control]``.  Raises ConfigError or WireError if it is faulty."""
    _check_keys(params, CONTROL_KEYS)
    allow_private = params.get("private", bool, False)
    name = params.get("name", str, "")
    if name:
        check_name("control.name", name)
    sources = _read_sources("control.sources", params.values("sources", str, 1), allow_private)
    return ControlSettings(name, sources)


def load_relay(path: Path, environ: Mapping[str, str]) -> RelaySettings | None:
    """Read the section ``[relay]`` of a file; return None if there is no such section.

    ``PROXY_ADMIN_ADDR`` overrides ``admin_addr``, as it does for a router.  No other section is read, so that
    a relay does not load their libraries.  Raises ConfigError, which names the file and the key.
    """
    try:
        top = SettingsReader(tomllib.loads(path.read_text(encoding="utf-8")))
        if "relay" not in top.data:
            return None
        return _read_relay_section(top, environ)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, WireError, ConfigError) as error:
        raise FaultyFileError(path.name, error) from error


def _read_relay_section(top: SettingsReader, environ: Mapping[str, str]) -> RelaySettings:
    if find_spec("control_relay") is None:
        raise MissingPackageError("relay")
    settings = read_relay(top)
    admin = environ.get("PROXY_ADMIN_ADDR", "")
    if not admin:
        return settings
    return replace(settings, admin=read_address("PROXY_ADMIN_ADDR", admin))


def read_relay(top: SettingsReader) -> RelaySettings:
    """Read the section ``[relay]``.  Raises ConfigError or WireError, also for a section of a router."""
    for section in ROUTER_SECTIONS:
        if section in top.data:
            raise FaultyKeyError("relay", f"a relay is not a router, leave out [{section}]")
    params = top.section("relay")
    _check_keys(params, RELAY_KEYS)
    allow_private = params.get("private", bool, False)
    name = params.get("name", str)
    check_name("relay.name", name)
    admin = params.get("admin_addr", str, "")
    settings = RelaySettings(
        read_local_address("relay.listen", params.get("listen", str), allow_private),
        name,
        _read_sources("relay.upstreams", params.values("upstreams", str, 1), allow_private),
        _read_sources("relay.siblings", params.values("siblings", str), allow_private),
        _read_router_names(params.values("routers", str)),
        batch_window_ms=_read_bounded_number(
            params, "join_ms", DEFAULT_BATCH_WINDOW_MS, 0.0, MAX_BATCH_WINDOW_MS
        ),
        purge_retention_ms=_read_bounded_number(
            params, "hold_ms", DEFAULT_PURGE_RETENTION_MS, MIN_PURGE_RETENTION_MS, MAX_PURGE_RETENTION_MS
        ),
        admin=read_local_address("relay.admin_addr", admin, allow_private) if admin else None,
    )
    _check_sources(settings)
    return settings


def _check_sources(settings: RelaySettings) -> None:
    if settings.listen in settings.upstreams:
        raise FaultyKeyError("relay.upstreams", "contains this relay's own address")
    if settings.listen in settings.siblings:
        raise FaultyKeyError("relay.siblings", "contains this relay's own address")
    if set(settings.upstreams) & set(settings.siblings):
        raise FaultyKeyError("relay.siblings", "contains an address that is also an upstream")


def _check_keys(params: SettingsReader, known: Sequence[str]) -> None:
    """Reject unknown keys: a misspelt key would otherwise silently leave its default in force."""
    unknown = sorted(params.data.keys() - set(known))
    if unknown:
        raise FaultyKeyError(f"{params.path}{unknown[0]}", "no such key")


def _read_sources(key: str, texts: Sequence[str], allow_private: bool) -> tuple[Address, ...]:
    addresses = tuple(read_local_address(key, text, allow_private) for text in texts)
    if len(set(addresses)) < len(addresses) or len(addresses) > MAX_SOURCES:
        raise FaultyKeyError(key, f"contains an address twice, or more than {MAX_SOURCES} addresses")
    return addresses


def _read_router_names(names: Sequence[str]) -> tuple[str, ...]:
    for name in names:
        check_name("relay.routers", name)
    if len(set(names)) < len(names) or len(names) > MAX_ROUTERS:
        raise FaultyKeyError("relay.routers", f"contains a name twice, or more than {MAX_ROUTERS} names")
    return tuple(names)


def _read_bounded_number(
    params: SettingsReader, name: str, default: float, minimum: float, maximum: float
) -> float:
    value = params.number(name, default)
    if not minimum <= value <= maximum:
        raise FaultyKeyError(f"{params.path}{name}", f"not between {minimum:.0f} and {maximum:.0f} ms")
    return value
