"""Events: what a router is given."""

from __future__ import annotations

from dataclasses import dataclass

from thornjunction.interface.enums import AttemptStatus, FillResult
from thornjunction.interface.servers import LoadReport, ServerEntry
from thornjunction.interface.settings import Settings


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """The server list or its changes; a router's first event.

    Attributes:
        entries: the servers that are listed or have changed.
        complete: whether this is the complete list, from which every server not named in it is gone.
    """

    entries: tuple[ServerEntry, ...]
    complete: bool = True


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request; the caller owes exactly one final answer within ``remaining_ms``.

    Attributes:
        request_id: identifier, unique per router; actions and events carry it back.
        class_name: the name of its class.
        key: the object that it asks for.
        remaining_ms: how much longer the client waits.
        part: which part of the object, from 0; each part is cached separately.
        group: the group to which the object belongs (for purges).
        size_kb: size of the part; 0: not known.
        idempotency_key: the same in all of a client's retries of one request, keyed classes only; empty: not
            known.
    """

    request_id: str
    class_name: str
    key: int
    remaining_ms: float
    part: int = 0
    group: int = 0
    size_kb: float = 0.0
    idempotency_key: str = ""


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """How an attempt ended; reported exactly once per ``StartAttempt``.

    Attributes:
        request_id: the request's identifier.
        attempt_number: the attempt's number; 0 is the first of its request.
        server: the server to which it was sent.
        status: how it ended.
        elapsed_ms: time from its start to its end.
        fill_result: what is known of the fill behind it.
        fill_first_byte_ms: time from the start of the fill's last attempt to its first byte or its failure;
            None: not known.
        final: whether the request has its final answer; if not, the caller still owes it.
        report: the server's load report, where one came with the answer.
        size_kb: size of what was served, where it is known from the bytes; 0: not known.
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
    """The client left; no answer is owed for the request any more.

    Attributes:
        request_id: the request's identifier.
    """

    request_id: str


@dataclass(frozen=True, slots=True)
class RequestExpired:
    """The caller cannot wait for this request any longer, though its client would: answer it now.

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
    """Copies that left the origin before the purge are out of date: those of one object, or of a group.

    Attributes:
        group: the group that was purged, or to which the purged object belongs.
        age_ms: how long ago the purge was made.
        key: the object that was purged; None: the whole group.
    """

    group: int
    age_ms: float
    key: int | None = None


@dataclass(frozen=True, slots=True)
class HealthCheckEnded:
    """The result of a health check.

    Attributes:
        server: the server that was checked.
        status: how the check ended; SUCCEEDED: the server is healthy.
        elapsed_ms: time from its start to its end.
        report: the server's load report, where one came with the answer.
    """

    server: str
    status: AttemptStatus
    elapsed_ms: float = 0.0
    report: LoadReport | None = None


Event = (
    Settings
    | EndpointListUpdate
    | Request
    | AttemptEnded
    | ClientDisconnected
    | RequestExpired
    | TimerFired
    | PurgeReceived
    | HealthCheckEnded
)
