"""What the records of a connection mean to the responder."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum


class ProtocolStatus(IntEnum):
    """How a request ended (§5.5)."""

    COMPLETE = 0
    CANT_MULTIPLEX = 1
    OVERLOADED = 2
    UNKNOWN_ROLE = 3


@dataclass(frozen=True, slots=True)
class Request:
    """A complete request.

    Attributes:
        request_id: its number on the connection.
        params: parameters by name.
        body: what came in STDIN records.
        keep_alive: whether the connection stays open after the response.
    """

    request_id: int
    params: Mapping[str, str]
    body: bytes
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class RequestAborted:
    """The web server no longer waits for the response of a request.

    Attributes:
        request_id: its number on the connection.
    """

    request_id: int


@dataclass(frozen=True, slots=True)
class RequestDeclined:
    """A request that ends without a response.

    Attributes:
        request_id: its number on the connection.
        protocol_status: the reason, to be sent back.
        keep_alive: whether the connection stays open after it.
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
