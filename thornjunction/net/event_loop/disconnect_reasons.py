"""The reasons why connections end, and the log event of an ended connection."""

from __future__ import annotations

from enum import StrEnum

from twisted.internet.error import ConnectionAborted, ConnectionDone
from twisted.python.failure import Failure

from thornjunction.log_events import LogEvent
from thornjunction.logs import get_logger

log = get_logger("thornjunction.connection")


class ConnectionKind(StrEnum):
    """The kind of a connection that has ended, as it appears in the log."""

    ADMIN = "admin"
    """A caller's connection to the admin endpoint."""
    CHANNEL = "channel"
    """A connection to discovery or to a relay, for the command channel."""
    CLIENT_FASTCGI = "fastcgi"
    """A client's connection to the FastCGI front."""
    CLIENT_SIGNED = "signed"
    """A client's connection to the signed front."""
    GRAPHITE = "graphite"
    """The connection to Graphite."""
    POLLER = "poller"
    """The connection of a router or relay that polls this relay."""
    SERVER = "server"
    """A connection to a cache server, a parent or the origin."""


class DisconnectReason(StrEnum):
    """Why a connection ended, as the log shows it.  A protocol violation is logged with its own code."""

    ABORTED = "aborted"
    """This process reset the connection."""
    ANSWERED = "answered"
    """The response was sent and no further request is expected."""
    CLOSED_BY_PEER = "closed-by-peer"
    """The peer closed the connection in order."""
    CONNECT_FAILED = "dial-failed"
    """The connection could not be established."""
    DRAINED = "drained"
    """The process is shutting down and the connection had no open request."""
    DUPLICATE_REQUEST_ID = "fastcgi-id-twice"
    """The client reused the identifier of an open FastCGI request."""
    ENDPOINT_LIST_CHANGED = "list"
    """The endpoint list no longer contains the server at this address."""
    EVICTED = "evicted"
    """The table was full, and this idle connection was closed to make room for a new one."""
    HANDLER_FAILED = "failed"
    """Handling the connection's requests raised an exception."""
    PARTIAL_REQUEST = "half-request"
    """The rest of a partly received request did not arrive in time."""
    IDLE = "idle"
    """No request arrived within the idle timeout."""
    LINGER_EVICTED = "lingering"
    """Too many connections lingered, and this one had lingered longest."""
    MALFORMED_REQUESTS = "misuse"
    """Too many consecutive requests were malformed."""
    MOVED = "moved"
    """A different address is polled from now on."""
    NO_KEEP_ALIVE = "no-keep-alive"
    """The peer asked for the connection to be closed after this response."""
    NO_KEEP_CONN = "no-keep-conn"
    """The web server asked for the connection to be closed after this FastCGI request."""
    PARTIAL_RESPONSE = "part-answer"
    """The rest of a partly received response did not arrive in time."""
    PIPELINED_POLL = "pipelined"
    """Bytes followed a poll before its response."""
    PIPELINE_TOO_LONG = "pipeline"
    """The client pipelined more requests than may wait."""
    POLL_BEFORE_RESPONSE = "unanswered-poll"
    """A poll arrived before the response to the previous one was read."""
    POLL_HEAD_TOO_LARGE = "poll-head"
    """The head of a poll exceeded its maximum size."""
    POLL_METHOD = "poll-method"
    """A poll used a method other than GET."""
    RELAY_ENDING = "ending"
    """The relay is shutting down and the connection had no open poll."""
    RESET = "reset"
    """The connection was reset, or the system reported an error."""
    RESPONSE_TOO_LONG = "long"
    """A long response did not end within its time limit."""
    RESPONSE_UNREAD = "unread"
    """The peer did not read its response in time."""
    SILENT = "silent"
    """The expected bytes did not arrive in time."""
    STALLED = "stalled"
    """The client did not read its responses in time."""
    STREAM_IDS_EXHAUSTED = "worn"
    """Too many streams were cancelled on the connection, whose identifiers must not be reused."""
    TABLE_FULL = "table-full"
    """The table of connections had no slot for this one."""
    UNEXPECTED_RESPONSE = "unasked"
    """Too many responses matched no stream in flight."""
    WRITE_STALLED = "held-back"
    """The system did not accept the bytes of a cancelled or overdue attempt in time."""


def log_disconnect(kind: ConnectionKind, number: int | None, code: str, **fields: object) -> None:
    """Log that a connection has ended.  The fields must contain no secrets and no text sent by a client."""
    log.info(LogEvent.CONNECTION_CLOSED, kind=kind, slot=number, code=str(code), **fields)


def disconnect_reason(reason: Failure | None) -> DisconnectReason:
    """Map the failure with which Twisted reports the end of a connection to a reason."""
    if reason is None or isinstance(reason.value, ConnectionDone):
        return DisconnectReason.CLOSED_BY_PEER
    if isinstance(reason.value, ConnectionAborted):
        return DisconnectReason.ABORTED
    return DisconnectReason.RESET
