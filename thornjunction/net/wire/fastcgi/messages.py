"""Messages that the records of a connection convey to the responder."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum


class ProtocolStatus(IntEnum):
    """Status of a request's end (§5.5)."""

    COMPLETE = 0
    CANT_MULTIPLEX = 1
    OVERLOADED = 2
    UNKNOWN_ROLE = 3


@dataclass(frozen=True, slots=True)
class Request:
    """A complete request.

    Attributes:
        request_id: number of the request on the connection.
        params: parameters by name.
        body: content of the STDIN records.
        keep_alive: whether the connection stays open after the response.
        size_bytes: number of bytes that it occupies.
    """

    request_id: int
    params: Mapping[str, str]
    body: bytes
    keep_alive: bool
    size_bytes: int


@dataclass(frozen=True, slots=True)
class RequestAborted:
    """The web server no longer waits for the response to a request.

    Attributes:
        request_id: number of the request on the connection.
    """

    request_id: int


@dataclass(frozen=True, slots=True)
class RequestDeclined:
    """A request that is ended without a response.

    Attributes:
        request_id: number of the request on the connection.
        protocol_status: the reason, which is sent to the web server.
        keep_alive: whether the connection stays open afterwards.
    """

    request_id: int
    protocol_status: ProtocolStatus
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class ManagementReply:
    """The reply to a record about the connection itself.

    Attributes:
        data: the encoded record to send back.
    """

    data: bytes


Message = Request | RequestAborted | RequestDeclined | ManagementReply
