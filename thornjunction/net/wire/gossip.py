"""Datagrams that announce accepted tokens to peers: replay entries, authenticated by HMAC-SHA256.

    b"TJG1" | count (u16) | count x (key: 16 bytes, expiry: u32 Unix seconds) | HMAC-SHA256 (32 bytes)

The HMAC covers all bytes before it; its key is a secret that all instances of a fleet share.
"""

from __future__ import annotations

import hashlib
import hmac
import struct
from collections.abc import Sequence

from thornjunction.net.wire import ProtocolError
from thornjunction.signing.replay import KEY_BYTES, ReplayEntry

# Identifies the format and its version.
MAGIC = b"TJG1"

# Length of an HMAC-SHA256 code.
MAC_BYTES = 32

# Number of entries in the datagram.
COUNT = struct.Struct(">H")

# One entry: key and expiry in Unix seconds.
ENTRY = struct.Struct(f">{KEY_BYTES}sI")

# Size of the header before the entries.
HEADER_BYTES = len(MAGIC) + COUNT.size

# Most entries of a datagram; its 1,318 bytes are below the usual MTU.
MAX_ENTRIES = 64

# Size of a datagram without entries.
MIN_DATAGRAM_BYTES = HEADER_BYTES + MAC_BYTES

# Size of a datagram with ``MAX_ENTRIES``.
MAX_DATAGRAM_BYTES = MIN_DATAGRAM_BYTES + MAX_ENTRIES * ENTRY.size

# Largest expiry that fits into an entry.
LAST_EXPIRY_S = 0xFFFFFFFF


class TooManyEntriesError(ValueError):
    """There are more entries than fit into one datagram."""

    def __init__(self) -> None:
        super().__init__(f"gossip: over {MAX_ENTRIES} entries in one datagram")


def encode(entries: Sequence[ReplayEntry], secret: bytes) -> bytes:
    """Encode one datagram; expiries are rounded up to whole seconds.

    Raises:
        TooManyEntriesError: there are more than ``MAX_ENTRIES``.
    """
    if len(entries) > MAX_ENTRIES:
        raise TooManyEntriesError
    body = MAGIC + COUNT.pack(len(entries))
    body += b"".join(ENTRY.pack(entry.key, min(int(entry.expires_s) + 1, LAST_EXPIRY_S)) for entry in entries)
    return body + _authentication_code(body, secret)


def decode(data: bytes, secret: bytes) -> list[ReplayEntry]:
    """Decode one datagram; its authentication code is checked before anything else is read.

    Raises:
        ProtocolError: ``gossip-size`` for an invalid length, ``gossip-forged`` for a wrong authentication
            code, ``gossip-frame`` for another format.
    """
    if not MIN_DATAGRAM_BYTES <= len(data) <= MAX_DATAGRAM_BYTES:
        raise ProtocolError("gossip-size")
    body = data[:-MAC_BYTES]
    if not hmac.compare_digest(data[-MAC_BYTES:], _authentication_code(body, secret)):
        raise ProtocolError("gossip-forged")
    (count,) = COUNT.unpack_from(body, len(MAGIC))
    if not body.startswith(MAGIC) or len(body) != HEADER_BYTES + count * ENTRY.size:
        raise ProtocolError("gossip-frame")
    return [ReplayEntry(key, float(expires_s)) for key, expires_s in ENTRY.iter_unpack(body[HEADER_BYTES:])]


def _authentication_code(body: bytes, secret: bytes) -> bytes:
    return hmac.new(secret, body, hashlib.sha256).digest()
