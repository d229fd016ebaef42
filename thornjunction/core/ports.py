"""The core's ports: the interfaces to router, upstreams and fronts, and the values that pass through them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import ClassVar, Protocol

from thornjunction import interface as api


class RequestOutcome(Enum):
    """How a client's request ended; the values are parts of metric names."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A client's request as a front decoded it.

    Attributes:
        transaction_id: unique to this request, so that each retry has another one; passed on unchanged.
        class_name: name of its request class.
        object_id: the requested object, 16 hex digits; passed on unchanged.
        remaining_ms: time until the client's timeout.
        part: index of the requested part of the object, from 0.
        group: the group to which the object belongs.
        size_kb: size of the part in KB; 0: not known.
        idempotency_key: the same in all of a client's retries of one request; empty: none.
        if_none_match: entity tag of the client's cached copy; empty: none.
        body: body of the request.
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
    """The content of an upstream's answer.

    Attributes:
        body: the bytes of the part; empty with ``not_modified``.
        etag: entity tag of the served copy; empty: not known.
        not_modified: whether the client's cached copy is current.
    """

    body: bytes
    etag: str = ""
    not_modified: bool = False


@dataclass(frozen=True, slots=True)
class Served:
    """Final answer: the content.

    Attributes:
        content: the content of an upstream's answer.
    """

    outcome: ClassVar = RequestOutcome.SERVED

    content: Content


@dataclass(frozen=True, slots=True)
class Rejected:
    """Final answer: the request did not run and may be retried.

    Attributes:
        retry_after_ms: Retry-After time for the client; 0: none.
    """

    outcome: ClassVar = RequestOutcome.REJECTED

    retry_after_ms: float


@dataclass(frozen=True, slots=True)
class Failed:
    """Final answer: not served, and the request may have run.

    Attributes:
        timed_out: whether it failed at the client's deadline.
    """

    outcome: ClassVar = RequestOutcome.FAILED

    timed_out: bool


Answer = Served | Rejected | Failed

# Gives a request its final answer.  It returns the answer that the client gets, which is a failure if the
# content has no room; None: the answer as given.
ReplyCallback = Callable[[Answer], Answer | None]


class RequestTableFullError(Exception):
    """The engine has no capacity for another request."""


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """One attempt, with all that its encoding and transmission need.

    Attributes:
        number: the attempt's number, with which its end is reported.
        client_request: the request to pass on.
        fetch: the router's action, with server, source and limits.
    """

    number: int
    client_request: ClientRequest
    fetch: api.StartAttempt


class Router(Protocol):
    """Makes the decisions: returns actions for events."""

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Handle an event at its time on the core's clock in ms, and return the actions in their order."""


class Upstreams(Protocol):
    """Sends attempts to servers, and reports the end of each to ``Engine.attempt_ended``."""

    def send(self, request: UpstreamRequest) -> None:
        """Send an attempt, or queue it until a connection to its server is up."""

    def withdraw(self, number: int) -> bool:
        """Withdraw an attempt if it has not begun, and return True; its end is then not reported.

        Returns False and changes nothing if the attempt may have begun.
        """

    def cancel(self, number: int) -> None:
        """Cancel an attempt; its end is then not reported."""

    def probe(self, server: str) -> None:
        """Send a health check, and report its end to ``Engine.probe_ended``."""


class ExecutionStore(Protocol):
    """Possible executions by idempotency key that this process shares with others of the same router.

    The methods do not raise; failures are logged.
    """

    def find(self, key: str) -> tuple[api.PossibleExecution, ...] | None:
        """Return those of other processes under a key, in the order recorded; None: can't be read now."""

    def claim(
        self, key: str, execution: api.PossibleExecution, known: tuple[api.PossibleExecution, ...]
    ) -> int | None:
        """Record an attempt that is about to be sent; return the record's number.

        Returns None and records nothing if other processes have possible executions under the key that are
        not among ``known``, or if the store can't be written; the attempt must not be sent then.
        """

    def withdraw(self, number: int) -> None:
        """Remove the record of an attempt of this process that was not executed."""


class Observer(Protocol):
    """Is notified of the end of each request and each attempt; its methods must not block."""

    def request_ended(self, class_name: str, outcome: RequestOutcome, took_ms: float) -> None:
        """Handle the end of a request of this class, ``took_ms`` after it was opened."""

    def attempt_ended(self, status: api.AttemptStatus, took_ms: float) -> None:
        """Handle the end of an attempt, ``took_ms`` after it was sent."""
