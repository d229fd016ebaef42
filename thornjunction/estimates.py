"""Estimators that routing decisions share: stable hashes, smoothed means, a quantile, percentiles of scores.

This module makes no decisions, reads no clock and draws no random numbers.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right, insort
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

# Weight of a new sample in a smoothed mean: the mean follows about the last ten samples.
FAST_GAIN = 0.1
# Weight of a new sample for values that change slowly: the mean follows about the last hundred samples.
SLOW_GAIN = 0.01

# Number of recent scores that a new score is compared with: enough for a stable rank, and cheap to keep
# sorted.
MAX_RECENT_SCORES = 512

# Share of requests that take longer than the typical latency: the quantile that is estimated.
EXCEEDING_SHARE = 0.05
# Step of the quantile estimate, as a share of the latency objective.
QUANTILE_STEP = 0.02
# Increase of the estimate after an answer that took longer, and decrease after any other.
STEP_UP = QUANTILE_STEP * (1.0 - EXCEEDING_SHARE)
STEP_DOWN = QUANTILE_STEP * EXCEEDING_SHARE
# Lower bound of the typical latency, as a share of the latency objective.
MIN_OBJECTIVE_SHARE = 0.2

# Weight used in place of zero, so that a server of weight zero has a score, below all others.
MIN_WEIGHT = 1e-9
# Size of a request whose class has no known sizes yet.
DEFAULT_SIZE_KB = 1.0

_UINT64_MASK = (1 << 64) - 1
_DOUBLE_MANTISSA = 1 << 53


def mix64(value: int) -> int:
    """Return a stable 64-bit hash of an integer (the splitmix64 finaliser)."""
    value = (value + 0x9E3779B97F4A7C15) & _UINT64_MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & _UINT64_MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & _UINT64_MASK
    return value ^ (value >> 31)


def rendezvous_score(object_hash: int, server_salt: int, weight: float) -> float:
    """Return a server's score for an object; the server with the highest score owns the object.

    Weighted rendezvous hashing: a server owns a share of the objects in proportion to its weight, and
    one that joins or leaves moves only its own objects.
    """
    uniform = ((mix64(object_hash ^ server_salt) >> 11) + 0.5) / _DOUBLE_MANTISSA
    return -max(weight, MIN_WEIGHT) / math.log(uniform)


@dataclass(slots=True)
class SmoothedMean:
    """An exponentially smoothed mean; ``value`` is None until the first sample."""

    gain: float
    value: float | None = None

    def add(self, sample: float) -> None:
        """Add a sample; the first one becomes the mean."""
        if self.value is None:
            self.value = sample
        else:
            self.value += self.gain * (sample - self.value)

    def get(self, default: float) -> float:
        """Return the mean, or ``default`` before the first sample."""
        if self.value is None:
            return default
        return self.value


class TypicalLatency:
    """The latency within which most answers of a request class arrive, as a share of its objective.

    The quantile is estimated by stochastic approximation: an answer that takes longer increases the estimate
    by a large step, any other decreases it by a small one, in the proportion of the quantile.
    """

    def __init__(self) -> None:
        self.objective_share = 1.0

    def record(self, *, exceeded: bool) -> None:
        """Update the estimate for one answer; ``exceeded`` if it took longer than the present estimate."""
        step = STEP_UP if exceeded else -STEP_DOWN
        self.objective_share = min(max(self.objective_share + step, MIN_OBJECTIVE_SHARE), 1.0)


class RecentScores:
    """The most recent scores of one kind, sorted, which give the percentile of a new one."""

    def __init__(self) -> None:
        self.by_age: deque[float] = deque()
        self.ordered: list[float] = []

    def percentile(self, score: float) -> float:
        """Add a score; return the share of the earlier scores that are below it, from 0 to 1.

        Equal scores count by half. Without earlier scores the result is 0.5.
        """
        share = 0.5
        if self.ordered:
            position = (bisect_left(self.ordered, score) + bisect_right(self.ordered, score)) / 2
            share = position / len(self.ordered)
        self.by_age.append(score)
        insort(self.ordered, score)
        if len(self.by_age) > MAX_RECENT_SCORES:
            oldest = self.by_age.popleft()
            del self.ordered[bisect_left(self.ordered, oldest)]
        return share


class RequestSizes:
    """Mean response sizes in KB, by request class and over all classes."""

    def __init__(self) -> None:
        self.class_means: dict[str, SmoothedMean] = {}
        self.overall_mean = SmoothedMean(SLOW_GAIN)

    def keep_classes(self, class_names: Iterable[str]) -> None:
        """Keep the means of these classes, and drop those of all others."""
        self.class_means = {name: self.class_means.get(name, SmoothedMean(SLOW_GAIN)) for name in class_names}

    def add(self, class_name: str, size_kb: float) -> None:
        """Add the size of a response, announced with the request or reported with its answer."""
        if class_name in self.class_means:
            self.class_means[class_name].add(size_kb)
        self.overall_mean.add(size_kb)

    def class_mean_kb(self, class_name: str) -> float:
        """Return the mean size of a known class."""
        return self.class_means[class_name].get(DEFAULT_SIZE_KB)

    def learn_announced(self, class_name: str, announced_kb: float) -> float:
        """Return the size of a new request of a known class, and add it if it was announced.

        If no finite size above zero was announced, this is the mean of the class.
        """
        if 0 < announced_kb < math.inf:
            self.add(class_name, announced_kb)
            return announced_kb
        return self.class_mean_kb(class_name)

    def unknown_size_floor(self, class_name: str, floor: float, *, has_capacities: bool) -> float:
        """Return ``floor`` if the size of a class is unknown and its requests need a minimal cost, else 0.

        If no size of any class is known, all requests have the same cost and need no floor, unless the
        settings give capacities that the cost is compared with (``has_capacities``).
        """
        if self.class_means[class_name].value is not None:
            return 0.0
        if self.overall_mean.value is None and not has_capacities:
            return 0.0
        return floor

    def relative_to_mean(self, size_kb: float) -> float:
        """Return a size as a multiple of the mean of all requests."""
        return size_kb / self.overall_mean.get(size_kb)
