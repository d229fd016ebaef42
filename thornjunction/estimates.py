"""Arithmetic that the decisions share: a stable hash, smoothed means, a quantile.  Nothing here decides."""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right, insort
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

FAST_GAIN, SLOW_GAIN = 0.1, 0.01  # of a sample in means: the last ten, hundred
SCORES = 512  # kept to compare a new one with
COPIED = 0.05  # of requests that get a copy: the quantile
STEP, LEAST = 0.02, 0.2  # of the aim


def mix(value: int) -> int:
    """A stable 64-bit mix (the splitmix64 finaliser)."""
    value = (value + 0x9E3779B97F4A7C15) % (1 << 64)
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) % (1 << 64)
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) % (1 << 64)
    return value ^ (value >> 31)


def rendezvous(value: int, salt: int, weight: float) -> float:
    """A server's score for an object, by weight: the highest is its own (rendezvous hashing)."""
    share = ((mix(value ^ salt) >> 11) + 0.5) / (1 << 53)
    return -max(weight, 1e-9) / math.log(share)


@dataclass(slots=True)
class Mean:
    """A smoothed mean; None until something was seen."""

    gain: float
    value: float | None = None

    def add(self, sample: float) -> None:
        self.value = sample if self.value is None else self.value + self.gain * (sample - self.value)

    def get(self, default: float) -> float:
        return default if self.value is None else self.value


class Usual:
    """Share of the aim within which most answers of a class come: a quantile, moved by each answer."""

    def __init__(self) -> None:
        self.share = 1.0

    def add(self, over: bool) -> None:
        self.share = min(max(self.share + STEP * (over - COPIED), LEAST), 1.0)


class Recent:
    """The last scores, in order."""

    def __init__(self) -> None:
        self.recent: deque[float] = deque()
        self.ordered: list[float] = []

    def place(self, score: float) -> float:
        """Where a new score stands among them: 0 below all, 1 above all."""
        place = (bisect_left(self.ordered, score) + bisect_right(self.ordered, score)) / 2
        share = place / len(self.ordered) if self.ordered else 0.5
        self.recent.append(score)
        insort(self.ordered, score)
        if len(self.recent) > SCORES:
            del self.ordered[bisect_left(self.ordered, self.recent.popleft())]
        return share


class Sizes:
    """Sizes of requests in KB: each class's mean, and that of all."""

    def __init__(self) -> None:
        self.means: dict[str, Mean] = {}
        self.all = Mean(SLOW_GAIN)

    def keep(self, names: Iterable[str]) -> None:
        """Only these classes count from now on."""
        self.means = {name: self.means.get(name, Mean(SLOW_GAIN)) for name in names}

    def add(self, name: str, size: float) -> None:
        """A size is known: told with its request, or else by what answered it."""
        if name in self.means:
            self.means[name].add(size)
        self.all.add(size)

    def take(self, name: str, told: float) -> tuple[float, float]:
        """Of a new request: its size, which is its class's mean where it is not told, and that mean."""
        known = 0 < told < math.inf
        if known:
            self.add(name, told)
        mean = self.means[name].get(1.0)
        return (told if known else mean), mean

    def bound(self, name: str, most: float, apart: bool) -> float:
        """What a request of unknown size counts as, at least, where an unseen one must not pass for nothing:
        ``most`` until a size of its class is known; 0 then.  Where no size is known at all, all count alike,
        so 0, unless they are weighed against a capacity that is told (``apart``)."""
        known = self.means[name].value is not None or (self.all.value is None and not apart)
        return 0.0 if known else most

    def weights(self, *sizes: float) -> list[float]:
        """Over the mean of all."""
        return [size / self.all.get(size) for size in sizes]
