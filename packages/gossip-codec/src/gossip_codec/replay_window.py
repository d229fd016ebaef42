"""Replay protection: a sliding window of accepted sequence numbers per sender (RFC 4303, section 3.4.3)."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

# A datagram is rejected if it is this many sequence numbers or more behind its sender's newest one.
WINDOW_SIZE = 256

# Mask with one bit for each sequence number of the window.
WINDOW_MASK = (1 << WINDOW_SIZE) - 1

# Default maximum number of senders: the default size of a member table.
MAX_SENDERS = 4096


@dataclass(slots=True)
class _SenderWindow:
    """The accepted sequence numbers of one sender's newest incarnation.

    Bit ``n`` of ``accepted`` stands for sequence number ``newest - n``.
    """

    incarnation: int
    newest: int
    accepted: int = 1

    def accept(self, sequence: int) -> bool:
        """Accept a sequence number; return False if it was accepted before or is too old."""
        if sequence > self.newest:
            shift = min(sequence - self.newest, WINDOW_SIZE)
            self.accepted = (self.accepted << shift | 1) & WINDOW_MASK
            self.newest = sequence
            return True
        age = self.newest - sequence
        bit = 1 << age
        if age >= WINDOW_SIZE or self.accepted & bit:
            return False
        self.accepted |= bit
        return True


class ReplayWindow:
    """The newest incarnation of each sender and the sequence numbers accepted in it.

    Holds at most ``max_senders`` senders, about 300 bytes each, and evicts the least recently heard one.  A
    window starts empty: a datagram that was recorded before this process started can be replayed once.
    """

    def __init__(self, max_senders: int = MAX_SENDERS) -> None:
        self._max_senders = max_senders
        self._senders: OrderedDict[str, _SenderWindow] = OrderedDict()

    def newest_incarnation(self, sender: str) -> int | None:
        """Return the newest incarnation accepted from a sender, or None if there is none."""
        window = self._senders.get(sender)
        return window.incarnation if window else None

    def accept(self, sender: str, incarnation: int, sequence: int) -> bool:
        """Accept a datagram; return False if it is a replay or of an older incarnation."""
        window = self._senders.get(sender)
        if window is None or incarnation > window.incarnation:
            self._senders[sender] = _SenderWindow(incarnation, sequence)
        elif incarnation < window.incarnation or not window.accept(sequence):
            return False
        self._senders.move_to_end(sender)
        if len(self._senders) > self._max_senders:
            self._senders.popitem(last=False)
        return True
