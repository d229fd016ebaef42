"""The client's address, against which a token's ``cdniip`` claim is checked (RFC 9246 §2.1.10).

It is the address of the connection's peer, or the one that trusted proxies report in ``Forwarded`` (RFC 7239)
or in ``X-Forwarded-For``.  The module does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from ipaddress import IPv4Address, IPv6Address, ip_address, ip_network

Address = IPv4Address | IPv6Address

# Name of the header of RFC 7239, in lower case.
FORWARDED = "forwarded"

# Name of the header that proxies set before RFC 7239, in lower case.
X_FORWARDED_FOR = "x-forwarded-for"

# Names that can be configured; empty: no header is read.
HEADERS = ("", FORWARDED, X_FORWARDED_FOR)


class ForwardingHeaderError(ValueError):
    """The configured header is not one of ``HEADERS``."""

    def __init__(self) -> None:
        super().__init__("forwarding: header must be forwarded or x-forwarded-for")


@dataclass(frozen=True, slots=True)
class Forwarding:
    """Which peers may report the client's address, and in which header they do.

    Attributes:
        header: name of the header in lower case; empty: the connection's peer is the client.
        trusted: networks of the trusted proxies, as ``127.0.0.0/8``.

    Raises:
        ForwardingHeaderError: the header is not among ``HEADERS``.
        ValueError: an entry of ``trusted`` is not a network.
    """

    header: str = ""
    trusted: tuple[str, ...] = ()

    def __post_init__(self) -> None:
        if self.header not in HEADERS:
            raise ForwardingHeaderError
        for network in self.trusted:
            ip_network(network)


def parse_address(text: str) -> Address | None:
    """Parse an IPv4 or IPv6 address, with or without port, brackets and quotes.

    An IPv4 address that is mapped into IPv6 is returned as IPv4, so that both forms are equal.  Returns None
    if the text is not an address.
    """
    text = text.strip().strip('"')
    if text.startswith("["):
        text = text[1 : text.find("]")] if "]" in text else ""
    elif text.count(":") == 1:  # IPv4 with a port
        text = text.partition(":")[0]
    try:
        address = ip_address(text)
    except ValueError:
        return None
    mapped = address.ipv4_mapped if isinstance(address, IPv6Address) else None
    return mapped or address


def client_address(peer: str, headers: Mapping[str, str], forwarding: Forwarding) -> Address | None:
    """Return the address of the client behind a connection.

    If the peer is a trusted proxy, this is the nearest address of the forwarded chain that is not a trusted
    proxy itself, or the first address if all are trusted; otherwise it is the peer.  Returns None if a
    trusted peer reports an address that cannot be parsed.

    Args:
        peer: address of the connection's peer.
        headers: the request's headers by name in lower case.
        forwarding: which peers are trusted proxies, and which header they set.
    """
    nearest = parse_address(peer)
    if nearest is None or not forwarding.header or not _is_trusted(nearest, forwarding.trusted):
        return nearest
    chain = list(_forwarded_chain(headers.get(forwarding.header, ""), forwarding.header))
    for hop in reversed(chain):
        if hop is None:
            return None
        if not _is_trusted(hop, forwarding.trusted):
            return hop
    return chain[0] if chain else nearest


def _forwarded_chain(value: str, header: str) -> Iterator[Address | None]:
    """Yield the addresses of a forwarding header, client first; None for one that cannot be parsed."""
    for element in _list_elements(value):
        if header == X_FORWARDED_FOR:
            yield parse_address(element)
            continue
        pairs = [pair.strip().partition("=") for pair in element.split(";")]
        addresses = [value for name, _, value in pairs if name.lower() == "for"]
        yield parse_address(addresses[0]) if addresses else None


def _list_elements(value: str) -> Iterable[str]:
    """Return the elements of a comma-separated header (RFC 9110 §5.6.1) without empty ones."""
    return filter(None, (part.strip() for part in value.split(",")))


def _is_trusted(address: Address, networks: tuple[str, ...]) -> bool:
    return any(address in ip_network(network) for network in networks)


def matches_claim(claimed: object, client: Address | None) -> bool:
    """Return whether the value of ``cdniip`` is the client's address."""
    return isinstance(claimed, str) and client is not None and parse_address(claimed) == client
