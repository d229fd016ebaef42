"""The replay window: each token with a ``jti`` is accepted once (RFC 9246 §2.1.7), in bounded memory.

The window is a timing wheel: an accepted token is kept in the slot of its expiry, and all tokens of a slot
are removed together when its time has passed.  The module reads no clock and does no I/O: every call is
given the Unix time in seconds.  Tokens that peers accepted are recorded in the same way (``learn``), so that
a token is accepted once per fleet, as far as gossip reaches; see ``docs/design/second-front.md``.

The memory is bounded in bytes, at ``ENTRY_BYTES`` for each entry, which was measured with a full window
(``docs/SIGNED-FRONT-FIGURES.md``).
"""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass

# Memory of one entry, a key in a dict and in a slot's list: the greatest value measured with tracemalloc.
ENTRY_BYTES = 320

# Length of a replay key, at which a collision within the lifetime of a fleet is practically impossible.
KEY_BYTES = 16

# Default memory of a window: enough for about 26,000 tokens.
DEFAULT_CAPACITY_BYTES = 8 << 20

# Length of a slot in seconds, by which an expired entry may be removed late.
DEFAULT_SLOT_S = 10.0

# Longest lifetime of a token in seconds: one day.
DEFAULT_HORIZON_S = 86_400.0


class ReplayWindowSizeError(ValueError):
    """The sizes of a replay window do not allow for one entry or one slot."""

    def __init__(self) -> None:
        super().__init__(
            "replay window: needs a cap of one entry, a slot above 0 s and a horizon of one slot"
        )


@dataclass(frozen=True, slots=True)
class ReplayEntry:
    """An accepted token, as it is kept in the window and gossiped to peers.

    Attributes:
        key: hash of issuer and ``jti``, see ``replay_key``.
        expires_s: Unix time in seconds until which another use is a replay.
    """

    key: bytes
    expires_s: float


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of a token's check against the replay window.

    Attributes:
        code: reason of the rejection, for the log; empty: accepted.
        retry_after_s: if the window is full, seconds until it has capacity again; otherwise 0.
    """

    code: str = ""
    retry_after_s: float = 0.0

    @property
    def accepted(self) -> bool:
        """Whether the token was accepted."""
        return not self.code


# Result for the first use of a token.
ACCEPTED = Verdict()

# Result for a token that was used before, at this router or at a peer.
REPLAYED = Verdict("token-replayed")

# Result for a token that expires later than the window keeps entries.
BEYOND_HORIZON = Verdict("token-replay-horizon")


def replay_key(issuer: str, jti: str) -> bytes:
    """Return the hash that identifies a token in the window and in gossip, which carries no ``jti``."""
    return hashlib.blake2b(f"{issuer}\x00{jti}".encode(), digest_size=KEY_BYTES).digest()


class ReplayWindow:
    """Accepted tokens by key, each until its expiry.

    Args:
        cap_bytes: greatest memory of all entries.
        slot_s: length of one slot of the wheel in seconds.
        horizon_s: longest time in seconds until a token's expiry; a token that expires later is rejected,
            because its entry could not be kept until then.

    Raises:
        ReplayWindowSizeError: the sizes do not allow for one entry or one slot.
    """

    def __init__(
        self,
        cap_bytes: int = DEFAULT_CAPACITY_BYTES,
        slot_s: float = DEFAULT_SLOT_S,
        horizon_s: float = DEFAULT_HORIZON_S,
    ) -> None:
        if cap_bytes < ENTRY_BYTES or slot_s <= 0 or horizon_s < slot_s:
            raise ReplayWindowSizeError
        self.capacity = cap_bytes // ENTRY_BYTES
        self.slot_s = slot_s
        self.horizon_s = horizon_s
        self._expiry_s: dict[bytes, float] = {}  # by key
        self._slots: dict[int, list[bytes]] = {}  # keys by number of the slot in which they expire
        self._last_removed_slot = -1  # number of the last slot that was removed, as all before it were

    def __len__(self) -> int:
        return len(self._expiry_s)

    def accept(self, key: bytes, expires_s: float, now_s: float) -> Verdict:
        """Accept the first use of a token, and reject further uses until it expires."""
        self._remove_expired(now_s)
        if self._expiry_s.get(key, -math.inf) >= now_s:
            return REPLAYED
        if expires_s - now_s > self.horizon_s:
            return BEYOND_HORIZON
        if len(self._expiry_s) >= self.capacity:
            return Verdict("token-replay-full", self._seconds_until_capacity(now_s))
        self._insert(key, expires_s)
        return ACCEPTED

    def learn(self, key: bytes, expires_s: float, now_s: float) -> bool:
        """Record a token that a peer accepted, if the window has capacity; return whether it was inserted."""
        self._remove_expired(now_s)
        if key in self._expiry_s or expires_s < now_s or expires_s - now_s > self.horizon_s:
            return False
        if len(self._expiry_s) >= self.capacity:
            return False
        self._insert(key, expires_s)
        return True

    def _insert(self, key: bytes, expires_s: float) -> None:
        self._expiry_s[key] = expires_s
        self._slots.setdefault(self._slot_number(expires_s), []).append(key)

    def _slot_number(self, at_s: float) -> int:
        return math.floor(at_s / self.slot_s)

    def _remove_expired(self, now_s: float) -> None:
        """Remove each slot before that of ``now_s``, all of whose tokens have expired."""
        last_expired_slot = self._slot_number(now_s) - 1
        if last_expired_slot <= self._last_removed_slot:
            return
        for number in [number for number in self._slots if number <= last_expired_slot]:
            for key in self._slots.pop(number):
                # A key that was accepted again after its expiry is in two slots; the later one counts.
                expires_s = self._expiry_s.get(key)
                if expires_s is not None and self._slot_number(expires_s) == number:
                    del self._expiry_s[key]
        self._last_removed_slot = last_expired_slot

    def _seconds_until_capacity(self, now_s: float) -> float:
        """Return the seconds until the oldest slot is removed and its capacity is free."""
        oldest_slot = min(self._slots, default=self._slot_number(now_s))
        return max((oldest_slot + 1) * self.slot_s - now_s, 0.0) + self.slot_s
