"""The simulated network: what becomes of each datagram on each directed link."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from sansio_core import Address, RandomSource

Link = tuple[str, str]  # from, to

KEPT = 64  # datagrams that each sender's tap keeps for replays


@dataclass(frozen=True, slots=True)
class Quality:
    """How a link that is not cut carries: shares in [0, 1], times in ms.

    Delays are uniform in the range, so datagrams closer together than its width may pass each other;
    a `reordered` one is held back by up to `held_ms` more.
    """

    loss: float = 0.0
    least_ms: float = 0.2
    most_ms: float = 2.0
    doubled: float = 0.0
    reordered: float = 0.0
    held_ms: float = 50.0


@dataclass(frozen=True, slots=True)
class Taped:
    """A datagram as an eavesdropper has it."""

    source: Address
    to: str
    data: bytes


class Network:
    """Cuts and qualities by their causes, so that overlapping faults end one by one.

    A cut stops datagrams as they are sent: those already on their way arrive.
    """

    def __init__(self, base: Quality | None = None) -> None:
        self.base = base or Quality()
        self._cuts: dict[Link, set[str]] = {}
        self._noises: dict[str, tuple[Quality, str]] = {}
        self._tape: dict[str, deque[Taped]] = {}

    def fates(self, link: Link, draw: RandomSource) -> tuple[float, ...]:
        """The delay in ms of each copy that will arrive; none when it is lost."""
        if link in self._cuts:
            return ()
        quality = self._quality(link) if self._noises else self.base
        if quality.loss and draw() < quality.loss:
            return ()
        first = _delay(quality, draw)
        if quality.doubled and draw() < quality.doubled:
            return first, _delay(quality, draw)
        return (first,)

    def cut(self, links: Iterable[Link], cause: str) -> list[Link]:
        """Break the links for a cause; returns those that carried until now."""
        broken = []
        for link in links:
            if link not in self._cuts:
                broken.append(link)
            self._cuts.setdefault(link, set()).add(cause)
        return broken

    def mend(self, cause: str) -> list[Link]:
        """End a cause's cuts; returns the links that carry again."""
        healed = []
        for link, causes in list(self._cuts.items()):
            causes.discard(cause)
            if not causes:
                del self._cuts[link]
                healed.append(link)
        return healed

    def mend_links(self, links: Iterable[Link]) -> list[Link]:
        """End every cause's cut of these links; returns those that carry again."""
        return [link for link in links if self._cuts.pop(link, None) is not None]

    def is_cut(self, link: Link) -> bool:
        return link in self._cuts

    @property
    def cut_links(self) -> list[Link]:
        return list(self._cuts)

    def worsen(self, cause: str, quality: Quality, node: str = "") -> None:
        """Give all links, or those from and to one node, another quality; the last cause wins."""
        self._noises[cause] = (quality, node)

    def calm(self, cause: str) -> None:
        self._noises.pop(cause, None)

    def calm_all(self) -> None:
        self._noises.clear()

    @property
    def noisy(self) -> bool:
        return bool(self._noises)

    def tape(self, sender: str, datagram: Taped) -> None:
        self._tape.setdefault(sender, deque(maxlen=KEPT)).append(datagram)

    def taped(self, sender: str, to: str) -> list[Taped]:
        """What was seen lately from one node to another, oldest first."""
        return [datagram for datagram in self._tape.get(sender, ()) if datagram.to == to]

    def _quality(self, link: Link) -> Quality:
        for quality, node in reversed(self._noises.values()):
            if not node or node in link:
                return quality
        return self.base


def _delay(quality: Quality, draw: RandomSource) -> float:
    delay: float = quality.least_ms + (quality.most_ms - quality.least_ms) * draw()
    if quality.reordered and draw() < quality.reordered:
        delay += quality.held_ms * draw()
    return delay
