"""The simulated network: loss, delay, duplication and cuts of directed links."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from sansio_core import Address, RandomSource

# A directed link: the names of its source and its target.
Link = tuple[str, str]

# Maximum number of recorded datagrams per sender; the oldest are dropped.
MAX_RECORDED = 64


@dataclass(frozen=True, slots=True)
class LinkQuality:
    """The quality of a link that is not cut: probabilities in [0, 1], times in ms.

    Delays are uniform in their range, so datagrams sent shortly after each other may overtake each other; a
    reordered one is delayed by up to ``reorder_delay_ms`` more.
    """

    loss: float = 0.0
    min_delay_ms: float = 0.2
    max_delay_ms: float = 2.0
    duplicated: float = 0.0
    reordered: float = 0.0
    reorder_delay_ms: float = 50.0


@dataclass(frozen=True, slots=True)
class RecordedDatagram:
    """A sent datagram that was recorded for a replay."""

    source: Address
    target: str
    data: bytes


@dataclass(frozen=True, slots=True)
class _Degradation:
    """A quality that replaces the base quality on all links, or on those of ``node`` if it is set."""

    quality: LinkQuality
    node: str

    def applies_to(self, link: Link) -> bool:
        """Return whether the degradation applies to a link."""
        return not self.node or self.node in link


class Network:
    """The cuts and degradations of links, stored by cause, so that overlapping faults can end independently.

    A cut drops datagrams when they are sent: datagrams already in flight arrive.
    """

    def __init__(self, base_quality: LinkQuality | None = None) -> None:
        self.base_quality = base_quality or LinkQuality()
        self._cuts: dict[Link, set[str]] = {}
        self._degradations: dict[str, _Degradation] = {}
        self._recorded: dict[str, deque[RecordedDatagram]] = {}

    def delivery_delays_ms(self, link: Link, random: RandomSource) -> tuple[float, ...]:
        """Return the delay of each copy of a datagram that will arrive; empty if it is lost."""
        if link in self._cuts:
            return ()
        quality = self._quality(link) if self._degradations else self.base_quality
        if quality.loss and random() < quality.loss:
            return ()
        delay_ms = _draw_delay_ms(quality, random)
        if quality.duplicated and random() < quality.duplicated:
            return delay_ms, _draw_delay_ms(quality, random)
        return (delay_ms,)

    def cut(self, links: Iterable[Link], cause: str) -> list[Link]:
        """Cut the links for a cause; return those that were not cut before."""
        newly_cut = []
        for link in links:
            if link not in self._cuts:
                newly_cut.append(link)
            self._cuts.setdefault(link, set()).add(cause)
        return newly_cut

    def heal(self, cause: str) -> list[Link]:
        """End the cuts of a cause; return the links that are no longer cut."""
        healed = []
        for link, causes in list(self._cuts.items()):
            causes.discard(cause)
            if not causes:
                del self._cuts[link]
                healed.append(link)
        return healed

    def heal_links(self, links: Iterable[Link]) -> list[Link]:
        """End the cuts of these links for all causes; return those that were cut."""
        return [link for link in links if self._cuts.pop(link, None) is not None]

    def is_cut(self, link: Link) -> bool:
        """Return whether a link is cut."""
        return link in self._cuts

    def degrade(self, cause: str, quality: LinkQuality, node: str = "") -> None:
        """Set another quality for all links, or those from and to one node; the latest cause prevails."""
        self._degradations[cause] = _Degradation(quality, node)

    def end_degradation(self, cause: str) -> None:
        """End the degradation of a cause."""
        self._degradations.pop(cause, None)

    @property
    def is_degraded(self) -> bool:
        """Whether any degradation is in effect."""
        return bool(self._degradations)

    def record(self, sender: str, datagram: RecordedDatagram) -> None:
        """Record a sent datagram for a replay."""
        self._recorded.setdefault(sender, deque(maxlen=MAX_RECORDED)).append(datagram)

    def recorded(self, sender: str, target: str) -> list[RecordedDatagram]:
        """Return the recent datagrams from one node to another, oldest first."""
        return [datagram for datagram in self._recorded.get(sender, ()) if datagram.target == target]

    def _quality(self, link: Link) -> LinkQuality:
        for degradation in reversed(self._degradations.values()):
            if degradation.applies_to(link):
                return degradation.quality
        return self.base_quality


def _draw_delay_ms(quality: LinkQuality, random: RandomSource) -> float:
    delay_ms: float = quality.min_delay_ms + (quality.max_delay_ms - quality.min_delay_ms) * random()
    if quality.reordered and random() < quality.reordered:
        delay_ms += quality.reorder_delay_ms * random()
    return delay_ms
