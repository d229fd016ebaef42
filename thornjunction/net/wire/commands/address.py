"""Addresses of host and port in text form."""

from __future__ import annotations

# Largest TCP port.
MAX_PORT = 65_535

# Digits of a port.
MAX_PORT_DIGITS = 5

# Characters of a malformed address that its error shows.
MAX_SHOWN_CHARACTERS = 80

# Host and port.
Address = tuple[str, int]


class AddressError(ValueError):
    """A text is no address of host and port."""

    def __init__(self, text: str) -> None:
        super().__init__(f"bad address {text[:MAX_SHOWN_CHARACTERS]!r}")


def parse_address(text: str) -> Address:
    """Parse ``HOST:PORT``.

    Raises:
        AddressError: it is no address.
    """
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not host or not is_number or not 0 < int(port) <= MAX_PORT:
        raise AddressError(text)
    return host, int(port)
