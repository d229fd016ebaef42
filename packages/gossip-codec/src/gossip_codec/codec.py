"""The datagram format: version (1 byte), fleet id (8), msgpack body, tag (16); at most 256 bytes.

The tag is HMAC-SHA256 (RFC 2104) with the fleet's secret over everything before it, truncated to 16 bytes and
compared in constant time.  The body is authenticated, not encrypted.
"""

from __future__ import annotations

import hmac
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

from msgspec import DecodeError, msgpack
from sansio_core import MAX_DATAGRAM_BYTES

from gossip_codec.messages import MAX_UPDATES, Envelope, Message, Update
from gossip_codec.replay_window import ReplayWindow

# The first byte of each datagram.
FORMAT_VERSION = 1

# Length in bytes of the hash that identifies the fleet.
FLEET_ID_BYTES = 8

# Length in bytes of the authentication tag.
TAG_BYTES = 16

# Length in bytes of the part before the body.
HEADER_BYTES = 1 + FLEET_ID_BYTES

# Minimum length in bytes of a secret; a shorter one could be guessed.
MIN_SECRET_BYTES = 16


class RejectReason(Enum):
    """Why a datagram was rejected; the values appear in the log."""

    SIZE = "size"
    VERSION = "version"
    FLEET = "fleet"
    TAG = "tag"
    MALFORMED = "malformed"
    REPLAY = "replay"


class DatagramRejectedError(Exception):
    """A datagram was not accepted.

    ``envelope`` is set with ``RejectReason.REPLAY`` only: its author knows the secret, but whoever
    sent it may be an attacker.
    """

    def __init__(self, reason: RejectReason, envelope: Envelope | None = None) -> None:
        super().__init__(reason.value)
        self.reason = reason
        self.envelope = envelope


class ShortSecretError(ValueError):
    """A secret of fewer than ``MIN_SECRET_BYTES``."""

    def __init__(self) -> None:
        super().__init__(f"the fleet's secret must have at least {MIN_SECRET_BYTES} bytes")


class MessageTooLargeError(ValueError):
    """A message that does not fit into a datagram; ``body_bytes`` is its encoded length."""

    def __init__(self, body_bytes: int) -> None:
        super().__init__(f"a message of {body_bytes} bytes is too large for a datagram")
        self.body_bytes = body_bytes


@dataclass(frozen=True, slots=True)
class EncodedDatagram:
    """A datagram; ``updates_packed`` is the number of offered updates, from the first on, that it holds."""

    data: bytes
    updates_packed: int


class Codec:
    """Encodes and decodes one router's datagrams; numbers sent datagrams and rejects replayed ones."""

    def __init__(self, fleet: str, secret: bytes, window: ReplayWindow | None = None) -> None:
        """Raise ShortSecretError if the secret is too short."""
        if len(secret) < MIN_SECRET_BYTES:
            raise ShortSecretError
        self._secret = secret
        self._header = bytes([FORMAT_VERSION]) + blake2b(fleet.encode(), digest_size=FLEET_ID_BYTES).digest()
        self._decoder = msgpack.Decoder(Envelope)
        self._encoder = msgpack.Encoder()
        self._sequence = 0
        self.window = window or ReplayWindow()

    def encode(
        self, sender: str, incarnation: int, message: Message, updates: Sequence[Update] = ()
    ) -> EncodedDatagram:
        """Encode a message with as many of ``updates`` as fit.

        Raises MessageTooLargeError if the message does not fit even without updates.
        """
        self._sequence += 1
        body = self._encoder.encode(Envelope(sender, incarnation, self._sequence, message))
        free_bytes = MAX_DATAGRAM_BYTES - HEADER_BYTES - TAG_BYTES - len(body)
        if free_bytes < 0:
            raise MessageTooLargeError(len(body))
        packed: list[bytes] = []
        for update in updates[:MAX_UPDATES]:
            encoded = self._encoder.encode(update)
            if len(encoded) > free_bytes:
                break
            free_bytes -= len(encoded)
            packed.append(encoded)
        # The body ends with an empty array, a header of one byte to which the number of elements is added.
        array_header = bytes([body[-1] + len(packed)])
        data = self._header + body[:-1] + array_header + b"".join(packed)
        return EncodedDatagram(data + self._tag(data), len(packed))

    def decode(self, data: bytes) -> Envelope:
        """Verify and decode a datagram; raises DatagramRejectedError."""
        if not HEADER_BYTES + TAG_BYTES < len(data) <= MAX_DATAGRAM_BYTES:
            raise DatagramRejectedError(RejectReason.SIZE)
        if data[0] != FORMAT_VERSION:
            raise DatagramRejectedError(RejectReason.VERSION)
        if data[1:HEADER_BYTES] != self._header[1:]:
            raise DatagramRejectedError(RejectReason.FLEET)
        if not hmac.compare_digest(data[-TAG_BYTES:], self._tag(data[:-TAG_BYTES])):
            raise DatagramRejectedError(RejectReason.TAG)
        try:
            envelope = self._decoder.decode(data[HEADER_BYTES:-TAG_BYTES])
        except (DecodeError, ValueError):
            raise DatagramRejectedError(RejectReason.MALFORMED) from None
        if not self.window.accept(envelope.sender, envelope.incarnation, envelope.sequence):
            raise DatagramRejectedError(RejectReason.REPLAY, envelope)
        return envelope

    def _tag(self, data: bytes) -> bytes:
        return hmac.digest(self._secret, data, "sha256")[:TAG_BYTES]
