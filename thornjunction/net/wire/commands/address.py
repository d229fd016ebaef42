"""Text form of addresses, which consist of host and port."""

from __future__ import annotations

# Largest TCP port.
MAX_PORT = 65_535

# Most digits of a port.
MAX_PORT_DIGITS = 5

# Most characters of a malformed address in its error message.
MAX_SHOWN_CHARACTERS = 80

# Host and port.
Address = tuple[str, int]


class AddressError(ValueError):
    """A text is not an address of the form ``HOST:PORT``."""

    def __init__(self, text: str) -> None:
        super().__init__(f"bad address {text[:MAX_SHOWN_CHARACTERS]!r}")


def parse_address(text: str) -> Address:
    """Parse ``HOST:PORT``.

    Raises:
        AddressError: the text is not an address.
    """
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not host or not is_number or not 0 < int(port) <= MAX_PORT:
        raise AddressError(text)
    return host, int(port)
