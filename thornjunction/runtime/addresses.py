"""Parsing and checks of the addresses and names in the configuration files."""

from __future__ import annotations

import re
from ipaddress import ip_address
from typing import NamedTuple

from thornjunction.net.wire.commands import parse_address
from thornjunction.runtime.errors import FaultyKeyError

# Names that can be used in datagrams, polls and lines of the admin endpoint.
NAME = re.compile(r"[A-Za-z0-9._-]{1,32}")

# Number of characters of a faulty name that an error message shows.
MAX_SHOWN_CHARACTERS = 40


class Address(NamedTuple):
    """An IPv4 address and a port."""

    host: str
    port: int


def read_address(key: str, text: str) -> Address:
    """Parse ``host:port``.  Raises FaultyKeyError for any other text."""
    try:
        return Address(*parse_address(text))
    except ValueError as error:
        raise FaultyKeyError(key, error) from error


def read_local_address(key: str, text: str, allow_private: bool) -> Address:
    """Parse a loopback address, or a private address if ``allow_private`` is set.

    Raises FaultyKeyError for a public address and for the wildcard address 0.0.0.0.
    """
    address = read_address(key, text)
    ip = ip_address(address.host)
    if ip.is_loopback:
        return address
    if not allow_private:
        raise FaultyKeyError(key, "not a loopback address")
    if not ip.is_private or ip.is_unspecified:
        raise FaultyKeyError(key, "neither a loopback address nor a private one")
    return address


def check_name(section: str, name: str) -> None:
    """Raise FaultyKeyError for a name that datagrams, polls and the admin endpoint's lines cannot hold."""
    if not NAME.fullmatch(name):
        shown = name[:MAX_SHOWN_CHARACTERS]
        raise FaultyKeyError(section, f"a name is 1 to 32 letters, digits, dots and dashes, not {shown!r}")
