"""Arithmetic that the decisions share: a stable hash, smoothed means, a quantile.  Nothing here decides."""

from __future__ import annotations

from dataclasses import dataclass

FAST_GAIN, SLOW_GAIN = 0.1, 0.01  # of a sample in means: the last ten, hundred
COPIED = 0.05  # of requests that get a copy: the quantile
STEP, LEAST = 0.02, 0.2  # of the aim


def mix(value: int) -> int:
    """A stable 64-bit mix (the splitmix64 finaliser)."""
    value = (value + 0x9E3779B97F4A7C15) % (1 << 64)
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) % (1 << 64)
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) % (1 << 64)
    return value ^ (value >> 31)


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
