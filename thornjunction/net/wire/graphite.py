"""Graphite's plaintext protocol: one line with path, value and Unix time for each sample."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

# Characters that are not allowed in a path; each is replaced with an underscore.
UNSAFE = re.compile(r"[^0-9A-Za-z_.-]", re.ASCII)


@dataclass(frozen=True, slots=True)
class Sample:
    """One measured value.

    Attributes:
        name: words separated by dots.
        value: the measured value.
        counter: whether the value never decreases; otherwise it is a gauge.
    """

    name: str
    value: float
    counter: bool = False


def encode_lines(prefix: str, samples: Iterable[Sample], unix_s: float) -> bytes:
    """Encode samples that were measured at ``unix_s``; their paths have a common prefix."""
    timestamp = int(unix_s)
    return "".join(_encode_line(prefix, sample, timestamp) for sample in samples).encode("ascii")


def _encode_line(prefix: str, sample: Sample, timestamp: int) -> str:
    path = UNSAFE.sub("_", f"{prefix}.{sample.name}")
    return f"{path} {sample.value:.10g} {timestamp}\n"
