"""Which datagrams of a sender were taken already (the sliding window of RFC 4303, section 3.4.3)."""

from __future__ import annotations

from collections import OrderedDict

WIDTH = 256  # how far a datagram may come behind the newest of its sender


class ReplayWindow:
    """The newest incarnation of each sender, with the sequence numbers taken in it.

    Of at most ``senders`` senders, about 300 bytes each; the one unheard for longest is forgotten first.
    A window knows only what it saw: what was recorded before this life began can be replayed to it once.
    """

    def __init__(self, senders: int = 4096) -> None:
        self._senders = senders
        self._seen: OrderedDict[str, tuple[int, int, int]] = OrderedDict()  # life, newest, taken

    def incarnation(self, sender: str) -> int:
        """The newest incarnation heard of a sender; -1 where nothing was."""
        return self._seen[sender][0] if sender in self._seen else -1

    def take(self, sender: str, incarnation: int, sequence: int) -> bool:
        """Whether a datagram is new; it counts as taken then."""
        life, newest, taken = self._seen.get(sender, (-1, -1, 0))
        if incarnation < life:
            return False
        if incarnation > life:
            newest, taken = sequence, 1
        elif sequence > newest:
            newest, taken = sequence, (taken << min(sequence - newest, WIDTH) | 1) & (1 << WIDTH) - 1
        else:
            bit = 1 << (newest - sequence)
            if newest - sequence >= WIDTH or taken & bit:
                return False
            taken |= bit
        self._seen[sender] = (incarnation, newest, taken)
        self._seen.move_to_end(sender)
        if len(self._seen) > self._senders:
            self._seen.popitem(last=False)
        return True
