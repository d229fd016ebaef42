"""Why connections end, and the log line of a connection that has ended."""

from __future__ import annotations

from enum import StrEnum

from twisted.internet.error import ConnectionAborted, ConnectionDone
from twisted.python.failure import Failure

from thornjunction.log_events import LogEvent
from thornjunction.logs import get_logger

log = get_logger("thornjunction.connection")


class ConnectionKind(StrEnum):
    """Whose connection has ended, as the log names it."""

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
    """Why a connection ended, as the log names it.  A violation of a protocol is logged by its own code."""

    ABORTED = "aborted"
    """This process cut the connection off."""
    ANSWERED = "answered"
    """The response was sent and no further request is expected."""
    CLOSED_BY_PEER = "closed-by-peer"
    """The peer closed the connection in order."""
    CONNECT_FAILED = "dial-failed"
    """The connection never came up."""
    DRAINED = "drained"
    """The process shuts down and the connection had no open request."""
    DUPLICATE_REQUEST_ID = "fastcgi-id-twice"
    """The client used the identifier of an open FastCGI request again."""
    ENDPOINT_LIST_CHANGED = "list"
    """The endpoint list no longer names the server at this address."""
    EVICTED = "evicted"
    """The table was full and this idle connection made room for a new one."""
    HANDLER_FAILED = "failed"
    """Handling the connection's requests raised an exception."""
    PARTIAL_REQUEST = "half-request"
    """The rest of a request that had begun did not come in time."""
    IDLE = "idle"
    """No request came for the idle time."""
    LINGER_EVICTED = "lingering"
    """Too many connections lingered, and this one had lingered longest."""
    MALFORMED_REQUESTS = "misuse"
    """Too many requests in a row could not be used."""
    MOVED = "moved"
    """Another address is polled from now on."""
    NO_KEEP_ALIVE = "no-keep-alive"
    """The peer asked for one response only."""
    NO_KEEP_CONN = "no-keep-conn"
    """The web server asked for the connection to end with this FastCGI request."""
    PARTIAL_RESPONSE = "part-answer"
    """The rest of a response that had begun did not come in time."""
    PIPELINED_POLL = "pipelined"
    """Bytes followed a poll before its response."""
    PIPELINE_TOO_LONG = "pipeline"
    """The client sent more requests ahead of their responses than may wait."""
    POLL_BEFORE_RESPONSE = "unanswered-poll"
    """A poll came before the response to the last one was read."""
    POLL_HEAD_TOO_LARGE = "poll-head"
    """The head of a poll exceeded its bound."""
    POLL_METHOD = "poll-method"
    """A poll used another method than GET."""
    RELAY_ENDING = "ending"
    """The relay shuts down and the connection had no open poll."""
    RESET = "reset"
    """The connection was reset, or the system reported an error."""
    RESPONSE_TOO_LONG = "long"
    """A long response did not end within its time."""
    RESPONSE_UNREAD = "unread"
    """The peer did not read its response in time."""
    SILENT = "silent"
    """The expected bytes did not come in time."""
    STALLED = "stalled"
    """The client did not read its responses in time."""
    STREAM_IDS_EXHAUSTED = "worn"
    """Too many stream identifiers were given up on the connection."""
    TABLE_FULL = "table-full"
    """The table of connections had no slot for this one."""
    UNEXPECTED_RESPONSE = "unasked"
    """A response came to nothing that was sent."""
    WRITE_STALLED = "held-back"
    """The system did not take the bytes of a cancelled attempt in time."""


def log_disconnect(kind: ConnectionKind, number: int | None, code: str, **fields: object) -> None:
    """Log that a connection has ended.  The fields must hold no secrets and no client's text."""
    log.info(LogEvent.CONNECTION_CLOSED, kind=kind, slot=number, code=str(code), **fields)


def disconnect_reason(reason: Failure | None) -> DisconnectReason:
    """Return the reason for the failure with which Twisted reports the end of a connection."""
    if reason is None or isinstance(reason.value, ConnectionDone):
        return DisconnectReason.CLOSED_BY_PEER
    if isinstance(reason.value, ConnectionAborted):
        return DisconnectReason.ABORTED
    return DisconnectReason.RESET
