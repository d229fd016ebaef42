"""The datagram: version (1 byte), fleet (8), body (msgpack), tag (16); 256 bytes at most.

The tag is HMAC-SHA256 (RFC 2104) with the fleet's secret over all that stands before it, cut to 16 bytes and
compared in constant time.  The body is authenticated, not encrypted.
"""

from __future__ import annotations

import hmac
from collections.abc import Sequence
from hashlib import blake2b

from msgspec import DecodeError, msgpack

from gossip_codec.messages import Envelope, Message, Update
from gossip_codec.replay_window import ReplayWindow

MOST, VERSION, FLEET, TAG = (
    256,
    1,
    8,
    16,
)  # bytes of a datagram; format; bytes of the fleet's mark and the tag
HEAD = 1 + FLEET
SECRET_LEAST, UPDATES_MOST = 16, 15  # bytes; in one datagram


class RefusedError(Exception):
    """A datagram that is not taken.  ``code``: size, version, fleet, tag, malformed or replay.

    ``envelope`` is set with ``replay`` alone: its writer holds the secret, its sender may be anybody.
    """

    def __init__(self, code: str, envelope: Envelope | None = None) -> None:
        super().__init__(code)
        self.code = code
        self.envelope = envelope


class Codec:
    """One router's: it numbers what it writes and remembers what it took."""

    def __init__(self, fleet: str, secret: bytes, window: ReplayWindow | None = None) -> None:
        """Raises ValueError where the secret is too short to be one."""
        if len(secret) < SECRET_LEAST:
            raise ValueError(f"the fleet's secret needs {SECRET_LEAST} bytes or more")
        self._secret = secret
        self._head = bytes([VERSION]) + blake2b(fleet.encode(), digest_size=FLEET).digest()
        self._decoder = msgpack.Decoder(Envelope)
        self._encoder = msgpack.Encoder()
        self._sequence = 0
        self.window = window or ReplayWindow()

    def encode(
        self, sender: str, incarnation: int, message: Message, updates: Sequence[Update] = ()
    ) -> tuple[bytes, int]:
        """A datagram, and how many of ``updates``, from the first on, found room in it.

        Raises ValueError where the message alone is too large.
        """
        self._sequence += 1
        body = self._encoder.encode(Envelope(sender, incarnation, self._sequence, message))
        room = MOST - HEAD - TAG - len(body)
        if room < 0:
            raise ValueError(f"a message of {len(body)} bytes is too large for a datagram")
        parts: list[bytes] = []
        for update in updates[:UPDATES_MOST]:
            part = self._encoder.encode(update)
            if len(part) > room:
                break
            room -= len(part)
            parts.append(part)
        # The empty array at the end of the body is one byte, and so is that of up to 15 updates.
        data = self._head + body[:-1] + bytes([body[-1] + len(parts)]) + b"".join(parts)
        return data + self._tag(data), len(parts)

    def decode(self, data: bytes) -> Envelope:
        """Raises ``RefusedError``."""
        if not HEAD + TAG < len(data) <= MOST:
            raise RefusedError("size")
        if data[0] != VERSION:
            raise RefusedError("version")
        if data[1:HEAD] != self._head[1:]:
            raise RefusedError("fleet")
        if not hmac.compare_digest(data[-TAG:], self._tag(data[:-TAG])):
            raise RefusedError("tag")
        try:
            envelope = self._decoder.decode(data[HEAD:-TAG])
        except (DecodeError, ValueError):
            raise RefusedError("malformed") from None
        if not self.window.take(envelope.sender, envelope.incarnation, envelope.sequence):
            raise RefusedError("replay", envelope)
        return envelope

    def _tag(self, data: bytes) -> bytes:
        return hmac.digest(self._secret, data, "sha256")[:TAG]
