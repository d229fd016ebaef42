"""Graphite's plaintext protocol: a line of path, value and Unix time."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

UNSAFE = re.compile(r"[^0-9A-Za-z_.-]", re.ASCII)


@dataclass(frozen=True, slots=True)
class Sample:
    """One figure; its name is words joined by dots."""

    name: str
    value: float
    counter: bool = False  # it only grows


def encode_lines(prefix: str, samples: Iterable[Sample], unix_s: float) -> bytes:
    lines = (f"{UNSAFE.sub('_', f'{prefix}.{s.name}')} {s.value:.10g} {int(unix_s)}\n" for s in samples)
    return "".join(lines).encode("ascii")
