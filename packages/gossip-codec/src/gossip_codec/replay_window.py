"""Replay protection: remembers which datagrams of a sender were accepted (RFC 4303, section 3.4.3)."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

# Sequence numbers that a datagram may be older than the newest one of its sender.
WINDOW_SIZE = 256

# Bits of a full window.
WINDOW_MASK = (1 << WINDOW_SIZE) - 1

# Senders remembered unless the caller says otherwise: as many as a member table holds.
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
        """Mark a sequence number as accepted; return False if it was accepted before or is too old."""
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

    Remembers at most ``max_senders`` senders, about 300 bytes each, and evicts the least recently heard one.
    A window starts empty: a datagram that was recorded before this process started can be replayed once.
    """

    def __init__(self, max_senders: int = MAX_SENDERS) -> None:
        self._max_senders = max_senders
        self._senders: OrderedDict[str, _SenderWindow] = OrderedDict()

    def newest_incarnation(self, sender: str) -> int | None:
        """The newest incarnation accepted from a sender; None if nothing was."""
        window = self._senders.get(sender)
        return window.incarnation if window else None

    def accept(self, sender: str, incarnation: int, sequence: int) -> bool:
        """Accept a datagram that is neither a replay nor of a past incarnation; False if it is one."""
        window = self._senders.get(sender)
        if window is None or incarnation > window.incarnation:
            self._senders[sender] = _SenderWindow(incarnation, sequence)
        elif incarnation < window.incarnation or not window.accept(sequence):
            return False
        self._senders.move_to_end(sender)
        if len(self._senders) > self._max_senders:
            self._senders.popitem(last=False)
        return True
