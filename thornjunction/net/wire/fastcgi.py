"""FastCGI 1.0, the responder's side: records, requests made of them, and responses.

Source: the FastCGI Specification of 29 April 1996; sections are cited as §.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum, IntEnum, auto
from typing import NamedTuple

from thornjunction.net.wire import ProtocolError

VERSION = 1
"""FCGI_VERSION_1, the only version (§8)."""

HEADER = struct.Struct("!BBHHBx")
"""Version, type, request id, content length and padding length of a record (§3.3)."""

BEGIN_BODY_BYTES = 8
"""Content of a BEGIN_REQUEST record (§5.1)."""

BEGIN_BODY = struct.Struct("!HB")
"""Role and flags, the used part of a BEGIN_REQUEST record's content."""

END_BODY = struct.Struct("!IB3x")
"""Application status and protocol status of an END_REQUEST record (§5.5)."""

UNKNOWN_TYPE_PADDING = bytes(7)
"""What follows the type in an UNKNOWN_TYPE record (§4.2)."""

MANAGEMENT_ID = 0
"""Request id of records about the connection itself (§3.3)."""

RESPONDER = 1
"""The role that this program serves (§6.2)."""

KEEP_CONN = 1
"""Flag of BEGIN_REQUEST: the connection stays open after the response (§5.1)."""

STDOUT_CHUNK_BYTES = 65_528
"""Content of one STDOUT record: the largest multiple of eight below 64 KiB, so that it needs no padding."""

RECORD_ALIGNMENT = 8
"""Records are padded to a multiple of these bytes (§3.3 recommends it)."""

SHORT_LENGTH_LIMIT = 0x80
"""Lengths of names and values below it take one byte, others four with the highest bit set (§3.4)."""

LONG_LENGTH_FLAG = 0x80000000
"""The highest bit of a length of four bytes."""

LONG_LENGTH_BYTES = 4
"""Size of a long length."""

MAX_OPEN_REQUESTS = 32
"""Requests of one connection at a time: as many as the platform's web servers send."""

MAX_PARAMS_BYTES = 16_384
"""All parameters of a request."""

MAX_BODY_BYTES = 65_536
"""Body of a request: a write brings up to 48,000 bytes."""

OPEN_REQUEST_OVERHEAD_BYTES = 64
"""Memory counted for each open request beside its parameters and body."""


class RecordType(IntEnum):
    """Types of a record (§8)."""

    BEGIN = 1
    ABORT = 2
    END = 3
    PARAMS = 4
    STDIN = 5
    STDOUT = 6
    DATA = 8
    GET_VALUES = 9
    GET_VALUES_RESULT = 10
    UNKNOWN = 11


class ProtocolStatus(IntEnum):
    """How a request ended (§5.5)."""

    COMPLETE = 0
    CANT_MULTIPLEX = 1
    OVERLOADED = 2
    UNKNOWN_ROLE = 3


class Record(NamedTuple):
    """One record.

    Attributes:
        kind: a ``RecordType``, or a number that is none.
        request_id: request that it belongs to; ``MANAGEMENT_ID``: the connection.
        content: its content without padding.
    """

    kind: int
    request_id: int
    content: bytes


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
    """The web server no longer waits for the response of a request."""

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
    """Bytes to send back for a record about the connection."""

    data: bytes


Message = Request | RequestAborted | RequestDeclined | ManagementReply


class RecordReader:
    """Splits a byte stream into records."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def held(self) -> int:
        """Bytes of an incomplete record."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Record]:
        """Return all records that are complete now.

        Raises:
            ProtocolError: ``fastcgi-version``, only where no record precedes the violation; otherwise the
                next call raises it.
        """
        self._buffer += data
        records: list[Record] = []
        position = 0
        while len(self._buffer) - position >= HEADER.size:
            version, kind, request_id, length, padding = HEADER.unpack_from(self._buffer, position)
            if version != VERSION:
                if records:
                    break
                raise ProtocolError("fastcgi-version")
            start = position + HEADER.size
            end = start + length + padding
            if len(self._buffer) < end:
                break
            records.append(Record(kind, request_id, bytes(self._buffer[start : start + length])))
            position = end
        del self._buffer[:position]
        return records


class _RequestState(Enum):
    """What an open request waits for."""

    PARAMS = auto()
    STDIN = auto()


@dataclass(slots=True)
class _OpenRequest:
    """A request of which some records have arrived."""

    keep_alive: bool
    state: _RequestState = _RequestState.PARAMS
    encoded_params: bytearray = field(default_factory=bytearray)
    params: Mapping[str, str] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)


class RequestReader:
    """Assembles requests from a connection's bytes, within limits."""

    def __init__(self) -> None:
        self._records = RecordReader()
        self._open: dict[int, _OpenRequest] = {}
        self._deferred_error: ProtocolError | None = None  # follows the messages that were returned last

    @property
    def held(self) -> int:
        """Bytes of incomplete requests, with an overhead for each."""
        open_bytes = sum(
            OPEN_REQUEST_OVERHEAD_BYTES + len(request.encoded_params) + len(request.body)
            for request in self._open.values()
        )
        return self._records.held + open_bytes

    def feed(self, data: bytes) -> list[Message]:
        """Return all messages that are complete now.

        Raises:
            ProtocolError: the protocol was violated.  Messages that precede the violation are returned
                first, and the next call raises it, so that none of them is lost.
        """
        if self._deferred_error is not None:
            raise self._deferred_error
        messages: list[Message] = []
        try:
            while records := self._records.feed(data):
                data = b""
                for record in records:
                    message = self._handle(record)
                    if message is not None:
                        messages.append(message)
        except ProtocolError as error:
            if not messages:
                raise
            self._deferred_error = error
        return messages

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
        if request is None:  # it has ended, or never was
            return None
        if request.state is not _RequestState.PARAMS:
            raise ProtocolError("fastcgi-params")
        if not record.content:
            request.params = decode_pairs(bytes(request.encoded_params))
            request.state = _RequestState.STDIN
        request.encoded_params += record.content
        if len(request.encoded_params) > MAX_PARAMS_BYTES:
            raise ProtocolError("fastcgi-params-size")
        return None

    def _add_body(self, record: Record) -> Message | None:
        """Add content to the body; an empty record ends it, and with it the request."""
        request = self._open.get(record.request_id)
        if request is None:  # it has ended, or never was
            return None
        request.body += record.content
        if len(request.body) > MAX_BODY_BYTES:
            raise ProtocolError("fastcgi-body-size")
        if record.content:
            return None
        if request.state is _RequestState.PARAMS:
            raise ProtocolError("fastcgi-order")
        del self._open[record.request_id]
        return Request(record.request_id, request.params, bytes(request.body), request.keep_alive)


_RECORD_HANDLERS: Mapping[int, Callable[[RequestReader, Record], Message | None]] = {
    RecordType.BEGIN: RequestReader._begin,
    RecordType.ABORT: RequestReader._abort,
    RecordType.PARAMS: RequestReader._add_params,
    RecordType.STDIN: RequestReader._add_body,
}
"""Types of a request's records; others are ignored."""


def _reply_to_management(record: Record) -> ManagementReply:
    """Reply to GET_VALUES (§4.1); any other type is answered with UNKNOWN_TYPE (§4.2)."""
    if record.kind != RecordType.GET_VALUES:
        content = bytes([record.kind]) + UNKNOWN_TYPE_PADDING
        return ManagementReply(encode_record(RecordType.UNKNOWN, MANAGEMENT_ID, content))
    known = {"FCGI_MPXS_CONNS": "1", "FCGI_MAX_REQS": str(MAX_OPEN_REQUESTS)}
    requested = decode_pairs(record.content)
    content = encode_pairs((name, value) for name, value in known.items() if name in requested)
    return ManagementReply(encode_record(RecordType.GET_VALUES_RESULT, MANAGEMENT_ID, content))


class _Length(NamedTuple):
    """A decoded length, and the position after it."""

    value: int
    end: int


def decode_pairs(data: bytes) -> dict[str, str]:
    """Decode name-value pairs (§3.4); text is ISO 8859-1.

    Raises:
        ProtocolError: ``fastcgi-pairs``, a length exceeds the data.
    """
    pairs: dict[str, str] = {}
    text = data.decode("latin-1")
    size = len(data)
    short = SHORT_LENGTH_LIMIT  # a local name, for this runs for each parameter of each request
    position = 0
    while position < size:
        if position + 1 < size and data[position] < short and data[position + 1] < short:
            # Both lengths are short, as nearly all are: spares the calls below.
            name_length = data[position]
            value_length = data[position + 1]
            name_start = position + 2
        else:
            long_name = _decode_length(data, position)
            long_value = _decode_length(data, long_name.end)
            name_length = long_name.value
            value_length = long_value.value
            name_start = long_value.end
        value_start = name_start + name_length
        position = value_start + value_length
        if position > size:
            raise ProtocolError("fastcgi-pairs")
        pairs[text[name_start:value_start]] = text[value_start:position]
    return pairs


def _decode_length(data: bytes, position: int) -> _Length:
    if position < len(data) and data[position] < SHORT_LENGTH_LIMIT:
        return _Length(data[position], position + 1)
    end = position + LONG_LENGTH_BYTES
    if end > len(data):
        raise ProtocolError("fastcgi-pairs")
    return _Length(int.from_bytes(data[position:end], "big") & ~LONG_LENGTH_FLAG, end)


def encode_pairs(pairs: Iterable[tuple[str, str]]) -> bytes:
    """Encode name-value pairs (§3.4)."""
    encoded = bytearray()
    for name, value in pairs:
        raw_name = name.encode("latin-1")
        raw_value = value.encode("latin-1")
        encoded += _encode_length(len(raw_name)) + _encode_length(len(raw_value)) + raw_name + raw_value
    return bytes(encoded)


def _encode_length(length: int) -> bytes:
    if length < SHORT_LENGTH_LIMIT:
        return bytes([length])
    return (length | LONG_LENGTH_FLAG).to_bytes(LONG_LENGTH_BYTES, "big")


def encode_record(kind: int, request_id: int, content: bytes) -> bytes:
    """Encode one record with its padding."""
    padding = -len(content) % RECORD_ALIGNMENT
    return HEADER.pack(VERSION, kind, request_id, len(content), padding) + content + bytes(padding)


def encode_end(request_id: int, protocol_status: int = ProtocolStatus.COMPLETE) -> bytes:
    """Encode END_REQUEST with an application status of 0."""
    return encode_record(RecordType.END, request_id, END_BODY.pack(0, protocol_status))


def encode_answer(request_id: int, output: bytes) -> bytes:
    """Encode a complete response: STDOUT records, the empty one that ends them, and END_REQUEST."""
    positions = range(0, len(output), STDOUT_CHUNK_BYTES)
    chunks = [output[position : position + STDOUT_CHUNK_BYTES] for position in positions]
    records = [encode_record(RecordType.STDOUT, request_id, chunk) for chunk in (*chunks, b"")]
    return b"".join(records) + encode_end(request_id)
