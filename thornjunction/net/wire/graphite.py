"""Graphite's plaintext protocol: a line of path, value and Unix time for each sample."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

# Characters that a path must not contain; each is replaced by an underscore.
UNSAFE = re.compile(r"[^0-9A-Za-z_.-]", re.ASCII)


@dataclass(frozen=True, slots=True)
class Sample:
    """One measured value.

    Attributes:
        name: words joined by dots.
        value: the value itself.
        counter: whether the value only grows; otherwise it is a gauge.
    """

    name: str
    value: float
    counter: bool = False


def encode_lines(prefix: str, samples: Iterable[Sample], unix_s: float) -> bytes:
    """Encode samples of one time, in Unix seconds, under a common prefix of their paths."""
    timestamp = int(unix_s)
    return "".join(_line(prefix, sample, timestamp) for sample in samples).encode("ascii")


def _line(prefix: str, sample: Sample, timestamp: int) -> str:
    path = UNSAFE.sub("_", f"{prefix}.{sample.name}")
    return f"{path} {sample.value:.10g} {timestamp}\n"
