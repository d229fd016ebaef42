"""What the core exchanges with its surroundings: small typed values and the ports that carry them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from thornjunction import interface as api


@dataclass(frozen=True, slots=True)
class Call:
    """A client's request as a front understood it."""

    name: str  # unique to this try; passed on as it is
    class_name: str
    object_id: str  # 16 hex digits; passed on as they are
    left_ms: float
    part: int = 0
    group: int = 0
    size_kb: float = 0.0
    idempotency_key: str = ""
    have: str = ""  # the tag of the client's copy
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Content:
    """What an upstream gave: bytes, or the word that the client's own copy holds."""

    body: bytes
    tag: str = ""
    same: bool = False


@dataclass(frozen=True, slots=True)
class Served:
    """Final answer: these bytes, or the client's copy."""

    content: Content


@dataclass(frozen=True, slots=True)
class Refused:
    """Final answer: nothing happened; trying again is harmless."""

    wait_ms: float


@dataclass(frozen=True, slots=True)
class Failed:
    """Final answer: not served, and no promise of what happened."""

    timed_out: bool


Answer = Served | Refused | Failed
Reply = Callable[[Answer], None]


@dataclass(frozen=True, slots=True)
class Order:
    """One attempt, as the upstream side needs it."""

    number: int  # under which its end is reported
    call: Call
    fetch: api.Fetch


class Upstreams(Protocol):
    """Carries attempts to servers and reports the end of each to ``Engine.ended``."""

    def send(self, order: Order) -> None: ...

    def withdraw(self, number: int) -> bool:
        """Take back an attempt that has not begun, whose end is then not reported any more; False: it may
        have begun, and stays as it is."""

    def give_up(self, number: int) -> None:
        """Stop waiting; its end is not reported any more."""

    def probe(self, server: str) -> None: ...


class Observer(Protocol):
    """Told of each final answer and each attempt's end; must not hold anything up."""

    def answered(self, class_name: str, answer: Answer | None, took_ms: float) -> None:
        """``answer`` is None where the client left first."""

    def attempted(self, status: api.Status, took_ms: float) -> None: ...
