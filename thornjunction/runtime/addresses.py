"""Addresses and names in the operators' file, checked the same way in each of its sections."""

from __future__ import annotations

import re
from ipaddress import ip_address

from thornjunction.runtime.config import ConfigError, address_of

Address = tuple[str, int]
NAME = re.compile(r"[A-Za-z0-9._-]{1,32}")


def near_address(key: str, text: str, private: bool) -> Address:
    """Loopback, or private where the operators say so; never public, and never all addresses at once.
    ConfigError, naming the key, otherwise."""
    host, port = address_of(key, text)
    ip = ip_address(host)
    if not ip.is_loopback and not (private and ip.is_private and not ip.is_unspecified):
        raise ConfigError(f"{key}: not a loopback address" + (" nor a private one" if private else ""))
    return host, port


def check_name(section: str, name: str) -> None:
    """ConfigError for what would not stand in a datagram, in a poll or on a line of the operators' door."""
    if not NAME.fullmatch(name):
        raise ConfigError(f"{section}: a name is 1 to 32 letters, digits, dots and dashes, not {name[:40]!r}")
