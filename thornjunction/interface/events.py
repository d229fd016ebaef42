"""Events that the caller passes to a router."""

from __future__ import annotations

from dataclasses import dataclass

from thornjunction.interface.enums import AttemptStatus, FillResult
from thornjunction.interface.servers import LoadReport, PossibleExecution, ServerEntry
from thornjunction.interface.settings import Settings


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """The endpoint list or changes to it; a router's first event.

    Attributes:
        entries: the servers that are listed or have changed.
        complete: whether this is the complete list, so that every server not named in it is removed.
    """

    entries: tuple[ServerEntry, ...]
    complete: bool = True


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request, which must get exactly one final answer within ``remaining_ms``.

    Attributes:
        request_id: identifier, unique per router, by which actions and events refer to the request.
        class_name: name of its request class.
        key: the requested object.
        remaining_ms: time until the client's timeout.
        part: index of the requested part of the object, from 0; each part is cached separately.
        group: the group to which the object belongs, by which it can be purged.
        size_kb: size of the part; 0: not known.
        idempotency_key: the same in all of a client's retries of one request; for keyed classes only;
            empty: not known.
        transaction_id: the client's identifier of the request; empty: not known.
    """

    request_id: str
    class_name: str
    key: int
    remaining_ms: float
    part: int = 0
    group: int = 0
    size_kb: float = 0.0
    idempotency_key: str = ""
    transaction_id: str = ""


@dataclass(frozen=True, slots=True)
class ExecutionsReported:
    """The possible executions under a key by other processes of this router; replaces an earlier report.

    Attributes:
        idempotency_key: the key.
        executions: the possible executions; empty: none.
    """

    idempotency_key: str
    executions: tuple[PossibleExecution, ...]


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The end of an attempt; reported exactly once per ``StartAttempt``.

    Attributes:
        request_id: the request's identifier.
        attempt_number: the attempt's number; 0 is the first of its request.
        server: the server to which it was sent.
        status: how it ended.
        elapsed_ms: time from its start to its end.
        fill_result: the result of its cache fill, as far as reported.
        fill_first_byte_ms: time from the start of the fill's last attempt to its first byte or its failure;
            None: not known.
        final: whether the request has ended, with its final answer or without; if not, it still needs one.
        report: the server's load report; None: the answer had none.
        size_kb: size of the served content, measured in its bytes; 0: not known.
    """

    request_id: str
    attempt_number: int
    server: str
    status: AttemptStatus
    elapsed_ms: float = 0.0
    fill_result: FillResult = FillResult.NONE
    fill_first_byte_ms: float | None = None
    final: bool = False
    report: LoadReport | None = None
    size_kb: float = 0.0


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has disconnected; its request needs no answer any more.

    Attributes:
        request_id: the request's identifier.
    """

    request_id: str


@dataclass(frozen=True, slots=True)
class RequestExpired:
    """The request must be answered now, although its client would wait longer.

    Attributes:
        request_id: the request's identifier.
    """

    request_id: str


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the router set is due.

    Attributes:
        token: the token of its ``SetTimer``.
    """

    token: int


@dataclass(frozen=True, slots=True)
class PurgeReceived:
    """A purge of one object or of a group: copies that left the origin before it are out of date.

    Attributes:
        group: the group that was purged, or to which the purged object belongs.
        age_ms: time since the purge was issued.
        key: the object that was purged; None: the entire group.
    """

    group: int
    age_ms: float
    key: int | None = None


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """The result of a health check.

    Attributes:
        server: the server that was checked.
        status: how the check ended; the server is healthy if it is SUCCEEDED.
        elapsed_ms: time from its start to its end.
        report: the server's load report; None: the answer had none.
    """

    server: str
    status: AttemptStatus
    elapsed_ms: float = 0.0
    report: LoadReport | None = None


Event = (
    Settings
    | EndpointListUpdate
    | ExecutionsReported
    | Request
    | AttemptEnded
    | ClientDisconnected
    | RequestExpired
    | TimerFired
    | PurgeReceived
    | HealthCheckEnded
)
