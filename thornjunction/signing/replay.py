"""A replay window: each token with a ``jti`` is accepted once (RFC 9246 §2.1.7), in bounded memory.

A timing wheel: an accepted token is kept under the slot of its expiry, and a whole slot is removed at once
when its time has passed.  No clock and no I/O: every call is given the Unix time in seconds.  What peers
accepted is recorded the same way (``learn``), so that a token is accepted once per fleet, as far as gossip
reaches; see ``docs/design/second-front.md``.

The bound on memory is given in bytes: ``ENTRY_BYTES`` each, measured at the bound
(``docs/SIGNED-FRONT-FIGURES.md``).
"""

from __future__ import annotations

import hashlib
import math
from dataclasses import dataclass

# Memory of one entry, a key in a dict and in a slot's list: the most that was measured with tracemalloc.
ENTRY_BYTES = 320

# Length of a replay key: by chance, no two tokens of a fleet's whole life have the same one.
KEY_BYTES = 16

# Memory for about 26,000 tokens.
DEFAULT_CAPACITY_BYTES = 8 << 20

# Seconds by which an expired entry may be removed late.
DEFAULT_SLOT_S = 10.0

# Longest lifetime of a token, in seconds: one day.
DEFAULT_HORIZON_S = 86_400.0


class ReplayWindowSizeError(ValueError):
    """The sizes of a replay window leave no room for one entry or one slot."""

    def __init__(self) -> None:
        super().__init__("replay window: a cap of one entry, a slot above 0 s and a horizon of one slot")


@dataclass(frozen=True, slots=True)
class ReplayEntry:
    """An accepted token, as the window keeps it and as it is gossiped to peers.

    Attributes:
        key: from ``replay_key``.
        expires_s: Unix second until which a second use is a replay.
    """

    key: bytes
    expires_s: float


@dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a token was accepted.

    Attributes:
        code: reason of the rejection, for the log; empty: accepted.
        retry_after_s: with a full window, seconds until it has room again; otherwise 0.
    """

    code: str = ""
    retry_after_s: float = 0.0

    @property
    def accepted(self) -> bool:
        """Whether this was the token's first use."""
        return not self.code


# The token's first use.
ACCEPTED = Verdict()

# The token was used before, here or at a peer.
REPLAYED = Verdict("token-replayed")

# The token lives longer than the window remembers.
BEYOND_HORIZON = Verdict("token-replay-horizon")


def replay_key(issuer: str, jti: str) -> bytes:
    """Hash that identifies a token in the window and on the wire, so that no ``jti`` is kept in clear."""
    return hashlib.blake2b(f"{issuer}\x00{jti}".encode(), digest_size=KEY_BYTES).digest()


class ReplayWindow:
    """Accepted tokens by key until their expiry.

    Args:
        cap_bytes: bound on the memory of all entries.
        slot_s: seconds of one slot of the wheel.
        horizon_s: longest lifetime in seconds; a token that lives longer could not be remembered to its
            end, and is rejected.

    Raises:
        ReplayWindowSizeError: there would be no room for one entry or one slot.
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
        self._slots: dict[int, list[bytes]] = {}  # keys that expire in it, by number
        self._last_removed_slot = -1  # this one and all before it are removed

    def __len__(self) -> int:
        return len(self._expiry_s)

    def accept(self, key: bytes, expires_s: float, now_s: float) -> Verdict:
        """Accept a token's first use, and reject a second one until it expires."""
        self._remove_expired(now_s)
        if self._expiry_s.get(key, -math.inf) >= now_s:
            return REPLAYED
        if expires_s - now_s > self.horizon_s:
            return BEYOND_HORIZON
        if len(self._expiry_s) >= self.capacity:
            return Verdict("token-replay-full", self._room_after_s(now_s))
        self._insert(key, expires_s)
        return ACCEPTED

    def learn(self, key: bytes, expires_s: float, now_s: float) -> bool:
        """Record a token that a peer accepted, where there is room; returns whether it was inserted."""
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
        """Remove each slot before that of ``now_s``: all of its tokens have expired."""
        last = self._slot_number(now_s) - 1
        if last <= self._last_removed_slot:
            return
        for number in [number for number in self._slots if number <= last]:
            for key in self._slots.pop(number):
                # A key that was accepted again after its expiry stands in two slots: the later one counts.
                expires_s = self._expiry_s.get(key)
                if expires_s is not None and self._slot_number(expires_s) == number:
                    del self._expiry_s[key]
        self._last_removed_slot = last

    def _room_after_s(self, now_s: float) -> float:
        """Seconds until the oldest slot is removed."""
        oldest = min(self._slots, default=self._slot_number(now_s))
        return max((oldest + 1) * self.slot_s - now_s, 0.0) + self.slot_s
