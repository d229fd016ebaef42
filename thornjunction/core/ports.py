"""The core's ports to its surroundings, and the frozen values that pass through them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import ClassVar, Protocol

from thornjunction import interface as api


class RequestOutcome(Enum):
    """How a client's request ended; the values are the names of the metrics."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A client's request as a front decoded it.

    Attributes:
        transaction_id: unique to this request, also among a client's retries; passed on unchanged.
        class_name: the name of its class.
        object_id: the object it asks for, 16 hex digits; passed on unchanged.
        remaining_ms: how much longer the client waits.
        part: which part of the object, from 0.
        group: the group to which the object belongs.
        size_kb: size of the part; 0: not known.
        idempotency_key: the same in all of a client's retries of one request; empty: none.
        if_none_match: entity tag of the copy that the client has; empty: none.
        body: the bytes that came with it.
    """

    transaction_id: str
    class_name: str
    object_id: str
    remaining_ms: float
    part: int = 0
    group: int = 0
    size_kb: float = 0.0
    idempotency_key: str = ""
    if_none_match: str = ""
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Content:
    """What an upstream served.

    Attributes:
        body: the bytes; empty with ``not_modified``.
        etag: the entity tag of the copy; empty: not known.
        not_modified: whether the client's own copy is the current one.
    """

    body: bytes
    etag: str = ""
    not_modified: bool = False


@dataclass(frozen=True, slots=True)
class Served:
    """Final answer: the content.

    Attributes:
        content: what an upstream served.
    """

    outcome: ClassVar = RequestOutcome.SERVED

    content: Content


@dataclass(frozen=True, slots=True)
class Rejected:
    """Final answer: the request did not run, and a retry is harmless.

    Attributes:
        retry_after_ms: Retry-After time; 0: none.
    """

    outcome: ClassVar = RequestOutcome.REJECTED

    retry_after_ms: float


@dataclass(frozen=True, slots=True)
class Failed:
    """Final answer: not served, and the request may have run.

    Attributes:
        timed_out: whether the client's deadline is the reason.
    """

    outcome: ClassVar = RequestOutcome.FAILED

    timed_out: bool


Answer = Served | Rejected | Failed
ReplyCallback = Callable[[Answer], None]


class RequestTableFullError(Exception):
    """The core has no capacity for another request."""


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """One attempt, with what its transmission needs.

    Attributes:
        number: the attempt's number, under which its end is reported.
        client_request: what to pass on.
        fetch: the router's decision.
    """

    number: int
    client_request: ClientRequest
    fetch: api.StartAttempt


class Router(Protocol):
    """The decision module."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Handle an event at its time in ms and return the actions to carry out, in order."""


class Upstreams(Protocol):
    """Carries attempts to servers, and reports the end of each to ``Engine.attempt_ended``."""

    def send(self, request: UpstreamRequest) -> None:
        """Send an attempt, or queue it until a connection is up."""

    def withdraw(self, number: int) -> bool:
        """Withdraw an attempt that has not begun; its end is then not reported.

        Returns False, without effect, for one that may have begun.
        """

    def cancel(self, number: int) -> None:
        """Cancel an attempt; its end is then not reported."""

    def probe(self, server: str) -> None:
        """Send a health check, and report its end to ``Engine.probe_ended``."""


class Observer(Protocol):
    """Is notified of the end of each request and each attempt; must not block."""

    def request_ended(self, class_name: str, outcome: RequestOutcome, took_ms: float) -> None:
        """Handle the end of a request of that class."""

    def attempt_ended(self, status: api.AttemptStatus, took_ms: float) -> None:
        """Handle the end of an attempt."""
