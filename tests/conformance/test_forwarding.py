"""The client's address behind trusted proxies (RFC 9246 §2.1.10, RFC 7239)."""

from __future__ import annotations

import pytest

from thornjunction.signing import address

TRUSTED_PROXIES = ("127.0.0.0/8", "10.0.0.0/8")


@pytest.mark.parametrize(
    ("peer", "forwarded_for", "client"),
    [
        ("127.0.0.1", "", "127.0.0.1"),
        ("127.0.0.1", "192.0.2.9", "192.0.2.9"),
        ("127.0.0.1", "198.51.100.1, 192.0.2.9, 10.1.1.1", "192.0.2.9"),
        ("192.0.2.50", "192.0.2.9", "192.0.2.50"),
        ("127.0.0.1", "junk", None),
        ("::ffff:127.0.0.1", "[2001:db8::7]:443", "2001:db8::7"),
    ],
)
def test_x_forwarded_for_counts_only_from_a_trusted_peer(
    peer: str, forwarded_for: str, client: str | None
) -> None:
    """The client is the nearest hop in the header that is not a trusted proxy."""
    forwarding = address.Forwarding("x-forwarded-for", TRUSTED_PROXIES)
    headers = {"x-forwarded-for": forwarded_for} if forwarded_for else {}
    expected = address.parse_address(client) if client else None
    assert address.client_address(peer, headers, forwarding) == expected


def test_forwarded_names_the_client() -> None:
    forwarding = address.Forwarding("forwarded", ("127.0.0.0/8",))
    headers = {"forwarded": 'for="[::1]";proto=https'}
    assert address.client_address("127.0.0.1", headers, forwarding) == address.parse_address("::1")
