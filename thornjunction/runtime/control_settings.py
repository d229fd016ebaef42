"""The ``[control]`` and ``[relay]`` sections of the operators' file: read and checked; messages name the
faulty key.  Imported only where the file has one."""

from __future__ import annotations

import tomllib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from importlib.util import find_spec
from pathlib import Path

from thornjunction.runtime.addresses import Address, check_name, near_address
from thornjunction.runtime.config import ConfigError, address_of
from thornjunction.settings import SettingsReader, WireError

MOST_SOURCES, MOST_ROUTERS = 16, 2048  # that one polls; that a relay expects
JOIN_MS, MOST_JOIN_MS = 150.0, 1_000.0  # how long the first event waits for others, by default and at most
HOLD_MS, LEAST_HOLD_MS, MOST_HOLD_MS = 10_000.0, 1_000.0, 60_000.0  # how long a purge is kept
BESIDE_RELAY = "signed", "metrics", "fleet", "control"  # sections of a router


@dataclass(frozen=True, slots=True)
class ControlSettings:
    """``[control]``: whom this router polls instead of the configuration's ``channel``, in the operators'
    order.  ``name`` is empty where the router's own counts."""

    name: str
    sources: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """``[relay]``: this process is a relay and nothing else.  Times in ms."""

    listen: Address
    name: str
    upstreams: tuple[Address, ...]  # in the operators' order
    siblings: tuple[Address, ...] = ()  # asked for a whole state where no upstream has any
    routers: tuple[str, ...] = ()  # names that are expected, and missed where they never came
    join_ms: float = JOIN_MS
    hold_ms: float = HOLD_MS
    admin_addr: Address | None = None  # where the operators' door listens


def read_control(params: SettingsReader) -> ControlSettings:
    """The section's settings; ConfigError or WireError otherwise."""
    _check_keys(params, "name", "sources", "private")
    private, name = params.get("private", bool, False), params.get("name", str, "")
    if name:
        check_name("control.name", name)
    return ControlSettings(name, _sources("control.sources", params.values("sources", str, 1), private))


def load_relay(path: Path, environ: Mapping[str, str]) -> RelaySettings | None:
    """The relay that a file describes; None where it has no ``[relay]``.  PROXY_ADMIN_ADDR overrides its
    ``admin_addr``, as it does a router's.  ConfigError names file and key.  Reads that section alone: a relay
    loads no library of the others."""
    try:
        top = SettingsReader(tomllib.loads(path.read_text(encoding="utf-8")))
        if "relay" not in top.data:
            return None
        if find_spec("control_relay") is None:
            raise ConfigError("relay: its packages are not installed (packages/)")
        settings, door = read_relay(top), environ.get("PROXY_ADMIN_ADDR", "")
        return replace(settings, admin_addr=address_of("PROXY_ADMIN_ADDR", door)) if door else settings
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError, WireError, ConfigError) as error:
        raise ConfigError(f"{path.name}: {error}") from error


def read_relay(top: SettingsReader) -> RelaySettings:
    """The section's settings; ConfigError or WireError otherwise."""
    beside = [name for name in BESIDE_RELAY if name in top.data]
    if beside:
        raise ConfigError(f"relay: a relay is no router, leave out [{beside[0]}]")
    params = top.section("relay")
    _check_keys(params, *RelaySettings.__slots__, "private")
    private, name = params.get("private", bool, False), params.get("name", str)
    check_name("relay.name", name)
    listen = near_address("relay.listen", params.get("listen", str), private)
    door = params.get("admin_addr", str, "")
    upstreams = _sources("relay.upstreams", params.values("upstreams", str, 1), private)
    siblings = _sources("relay.siblings", params.values("siblings", str), private)
    for key, others in (("upstreams", upstreams), ("siblings", siblings)):
        if listen in others:
            raise ConfigError(f"relay.{key}: names this relay's own address")
    if set(upstreams) & set(siblings):
        raise ConfigError("relay.siblings: one of them is an upstream too")
    return RelaySettings(
        listen,
        name,
        upstreams,
        siblings,
        _routers(params.values("routers", str)),
        join_ms=_within(params, "join_ms", JOIN_MS, 0.0, MOST_JOIN_MS),
        hold_ms=_within(params, "hold_ms", HOLD_MS, LEAST_HOLD_MS, MOST_HOLD_MS),
        admin_addr=near_address("relay.admin_addr", door, private) if door else None,
    )


def _check_keys(params: SettingsReader, *known: str) -> None:
    """Guards against a key that is misspelt, for which a default would stand in unseen."""
    unknown = sorted(params.data.keys() - set(known))
    if unknown:
        raise ConfigError(f"{params.path}{unknown[0]}: no such key")


def _sources(key: str, told: Sequence[str], private: bool) -> tuple[Address, ...]:
    found = tuple(near_address(key, text, private) for text in told)
    if len(set(found)) < len(found) or len(found) > MOST_SOURCES:
        raise ConfigError(f"{key}: one address twice, or more than {MOST_SOURCES}")
    return found


def _routers(names: Sequence[str]) -> tuple[str, ...]:
    for name in names:
        check_name("relay.routers", name)
    if len(set(names)) < len(names) or len(names) > MOST_ROUTERS:
        raise ConfigError(f"relay.routers: one name twice, or more than {MOST_ROUTERS}")
    return tuple(names)


def _within(params: SettingsReader, name: str, default: float, least: float, most: float) -> float:
    value = params.number(name, default)
    if not least <= value <= most:
        raise ConfigError(f"{params.path}{name}: not within {least:.0f} and {most:.0f} ms")
    return value
