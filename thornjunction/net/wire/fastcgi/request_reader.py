"""Assembles the requests of a connection from its records, within limits."""

from __future__ import annotations

import struct
from collections.abc import Callable, Container, Mapping
from dataclasses import dataclass, field
from enum import Enum, auto

from thornjunction.net.wire import ProtocolError
from thornjunction.net.wire.fastcgi.encoder import encode_record
from thornjunction.net.wire.fastcgi.messages import (
    ManagementReply,
    Message,
    ProtocolStatus,
    Request,
    RequestAborted,
    RequestDeclined,
)
from thornjunction.net.wire.fastcgi.pairs import decode_pairs, encode_pairs
from thornjunction.net.wire.fastcgi.records import MANAGEMENT_ID, Record, RecordReader, RecordType
from thornjunction.net.wire.message_reader import MessageReader

# Size of a BEGIN_REQUEST record's content (§5.1).
BEGIN_BODY_BYTES = 8

# Role and flags, the part of a BEGIN_REQUEST record's content that is used.
BEGIN_BODY = struct.Struct("!HB")

# Bytes that follow the type in an UNKNOWN_TYPE record (§4.2).
UNKNOWN_TYPE_PADDING = bytes(7)

# The only role that is supported (§6.2).
RESPONDER = 1

# Flag of BEGIN_REQUEST: the connection stays open after the response (§5.1).
KEEP_CONN = 1

# Most open requests of one connection; the platform's web servers send as many.
MAX_OPEN_REQUESTS = 32

# Largest size of all parameters of a request.
MAX_PARAMS_BYTES = 16_384

# Largest body of a request; a write has up to 48,000 bytes.
MAX_BODY_BYTES = 65_536

# Memory counted for each open request in addition to its parameters and body: the objects that describe it.
OPEN_REQUEST_OVERHEAD_BYTES = 1024


class _RequestState(Enum):
    """Which records an open request waits for."""

    PARAMS = auto()
    STDIN = auto()


@dataclass(slots=True)
class _OpenRequest:
    """A request of which some records have arrived."""

    keep_alive: bool
    state: _RequestState = _RequestState.PARAMS
    encoded_params: bytearray = field(default_factory=bytearray)
    params: Mapping[str, str] = field(default_factory=dict)
    params_bytes: int = 0
    body: bytearray = field(default_factory=bytearray)

    @property
    def size_bytes(self) -> int:
        """Number of bytes that it occupies."""
        return OPEN_REQUEST_OVERHEAD_BYTES + len(self.encoded_params) + self.params_bytes + len(self.body)


class RequestReader(MessageReader[Message]):
    """Assembles requests from a connection's bytes, within limits.

    Args:
        names: names of the parameters that requests keep.
    """

    def __init__(self, names: Container[str]) -> None:
        super().__init__()
        self._names = names
        self._records = RecordReader()
        self._open: dict[int, _OpenRequest] = {}

    @property
    def buffered_bytes(self) -> int:
        """Bytes of incomplete requests, with an overhead for each."""
        return self._records.buffered_bytes + sum(request.size_bytes for request in self._open.values())

    def _read_messages(self, data: bytes, messages: list[Message]) -> None:
        while records := self._records.feed(data):
            data = b""
            for record in records:
                message = self._handle(record)
                if message is not None:
                    messages.append(message)

    def _handle(self, record: Record) -> Message | None:
        if record.request_id == MANAGEMENT_ID:
            return _reply_to_management(record)
        handler = _RECORD_HANDLERS.get(record.kind)
        return None if handler is None else handler(self, record)

    def _begin(self, record: Record) -> Message | None:
        if len(record.content) != BEGIN_BODY_BYTES or record.request_id in self._open:
            raise ProtocolError("fastcgi-begin")
        role, flags = BEGIN_BODY.unpack_from(record.content)
        keep_alive = bool(flags & KEEP_CONN)
        if role != RESPONDER:
            return RequestDeclined(record.request_id, ProtocolStatus.UNKNOWN_ROLE, keep_alive)
        if len(self._open) >= MAX_OPEN_REQUESTS:
            return RequestDeclined(record.request_id, ProtocolStatus.OVERLOADED, keep_alive)
        self._open[record.request_id] = _OpenRequest(keep_alive)
        return None

    def _abort(self, record: Record) -> Message | None:
        self._open.pop(record.request_id, None)
        return RequestAborted(record.request_id)

    def _add_params(self, record: Record) -> Message | None:
        """Add content to the parameters; an empty record ends them."""
        request = self._open.get(record.request_id)
        if request is None:  # it has ended, or was never begun
            return None
        if request.state is not _RequestState.PARAMS:
            raise ProtocolError("fastcgi-params")
        if not record.content:
            request.params = decode_pairs(bytes(request.encoded_params), self._names)
            request.params_bytes = sum(map(len, request.params.values()))
            request.encoded_params = bytearray()
            request.state = _RequestState.STDIN
            return None
        request.encoded_params += record.content
        if len(request.encoded_params) > MAX_PARAMS_BYTES:
            raise ProtocolError("fastcgi-params-size")
        return None

    def _add_body(self, record: Record) -> Message | None:
        """Add content to the body; an empty record ends the body and the request."""
        request = self._open.get(record.request_id)
        if request is None:  # it has ended, or was never begun
            return None
        if record.content:
            request.body += record.content
            if len(request.body) > MAX_BODY_BYTES:
                raise ProtocolError("fastcgi-body-size")
            return None
        if request.state is _RequestState.PARAMS:
            raise ProtocolError("fastcgi-order")
        del self._open[record.request_id]
        return Request(
            record.request_id, request.params, bytes(request.body), request.keep_alive, request.size_bytes
        )


# Handlers of a request's records by type; records of other types are ignored.
_RECORD_HANDLERS: Mapping[int, Callable[[RequestReader, Record], Message | None]] = {
    RecordType.BEGIN: RequestReader._begin,
    RecordType.ABORT: RequestReader._abort,
    RecordType.PARAMS: RequestReader._add_params,
    RecordType.STDIN: RequestReader._add_body,
}


def _reply_to_management(record: Record) -> ManagementReply:
    """Reply to GET_VALUES (§4.1); any other type is answered with UNKNOWN_TYPE (§4.2)."""
    if record.kind != RecordType.GET_VALUES:
        content = bytes([record.kind]) + UNKNOWN_TYPE_PADDING
        return ManagementReply(encode_record(RecordType.UNKNOWN, MANAGEMENT_ID, content))
    known = {"FCGI_MPXS_CONNS": "1", "FCGI_MAX_REQS": str(MAX_OPEN_REQUESTS)}
    requested = decode_pairs(record.content, known)
    content = encode_pairs((name, value) for name, value in known.items() if name in requested)
    return ManagementReply(encode_record(RecordType.GET_VALUES_RESULT, MANAGEMENT_ID, content))
