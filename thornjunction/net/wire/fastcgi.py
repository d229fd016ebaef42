"""FastCGI 1.0, the responder's side."""

from __future__ import annotations

import struct
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from thornjunction.net.wire import ProtocolError

HEADER = struct.Struct("!BBHHBx")
BEGIN, ABORT, END, PARAMS, STDIN, STDOUT, DATA, GET_VALUES, GET_VALUES_RESULT, UNKNOWN = (
    1, 2, 3, 4, 5, 6, 8, 9, 10, 11,
)  # fmt: skip
RESPONDER, KEEP_CONN = 1, 1
COMPLETE, CANT_MULTIPLEX, OVERLOADED, UNKNOWN_ROLE = 0, 1, 2, 3  # END_REQUEST's protocol status
CHUNK = 65528  # content of one STDOUT record: the largest multiple of eight
MAX_OPEN, MAX_PARAMS, MAX_BODY = 32, 16_384, 65_536  # a write brings up to 48,000 bytes


class Record(NamedTuple):
    kind: int
    request_id: int
    content: bytes


@dataclass(frozen=True, slots=True)
class Asked:
    """A request that has come whole."""

    request_id: int
    params: Mapping[str, str]
    body: bytes
    keep: bool


@dataclass(frozen=True, slots=True)
class Aborted:
    request_id: int


@dataclass(frozen=True, slots=True)
class Declined:
    """A request that ends here, with this protocol status."""

    request_id: int
    protocol_status: int
    keep: bool


@dataclass(frozen=True, slots=True)
class Management:
    """A record about the connection, and what to send back."""

    reply: bytes


Message = Asked | Aborted | Declined | Management


class RecordReader:
    """Cuts a byte stream into records."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def held(self) -> int:
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Record]:
        """All records that are whole now.  ProtocolError only where none is: the next call finds it again."""
        self._buffer += data
        records: list[Record] = []
        at = 0
        while len(self._buffer) - at >= HEADER.size:
            version, kind, request_id, length, padding = HEADER.unpack_from(self._buffer, at)
            if version != 1:
                if records:
                    break
                raise ProtocolError("fastcgi-version")
            end = at + HEADER.size + length + padding
            if len(self._buffer) < end:
                break
            start = at + HEADER.size
            records.append(Record(kind, request_id, bytes(self._buffer[start : start + length])))
            at = end
        del self._buffer[:at]
        return records


@dataclass(slots=True)
class _Partial:
    keep: bool
    params: bytearray = field(default_factory=bytearray)
    named: Mapping[str, str] | None = None
    body: bytearray = field(default_factory=bytearray)


class RequestReader:
    """Puts records together to requests, within limits."""

    def __init__(self) -> None:
        self._records = RecordReader()
        self._open: dict[int, _Partial] = {}
        self._fault: ProtocolError | None = None  # behind the messages that were returned last

    @property
    def held(self) -> int:
        """Bytes of what has come in part, with something for each request that has begun."""
        parts = sum(64 + len(part.params) + len(part.body) for part in self._open.values())
        return self._records.held + parts

    def feed(self, data: bytes) -> list[Message]:
        """All messages that are whole now.  What breaks the protocol behind them is raised by the next call:
        none of them is lost with it."""
        if self._fault is not None:
            raise self._fault
        messages: list[Message] = []
        try:
            while records := self._records.feed(data):
                data = b""
                for record in records:
                    message = self._take(record)
                    if message is not None:
                        messages.append(message)
        except ProtocolError as fault:
            if not messages:
                raise
            self._fault = fault
        return messages

    def _take(self, record: Record) -> Message | None:
        if record.request_id == 0:
            return self._manage(record)
        if record.kind == BEGIN:
            return self._begin(record)
        if record.kind == ABORT:
            self._open.pop(record.request_id, None)
            return Aborted(record.request_id)
        partial = self._open.get(record.request_id)
        if partial is None:  # a record of a request that has ended, or never was
            return None
        if record.kind == PARAMS:
            return self._params(record, partial)
        if record.kind == STDIN:
            return self._stdin(record, partial)
        return None

    def _manage(self, record: Record) -> Message:
        if record.kind == GET_VALUES:
            known = {"FCGI_MPXS_CONNS": "1", "FCGI_MAX_REQS": str(MAX_OPEN)}
            asked = parse_pairs(record.content)
            content = encode_pairs((name, value) for name, value in known.items() if name in asked)
            return Management(encode_record(GET_VALUES_RESULT, 0, content))
        return Management(encode_record(UNKNOWN, 0, bytes([record.kind]) + bytes(7)))

    def _begin(self, record: Record) -> Message | None:
        if len(record.content) != 8 or record.request_id in self._open:
            raise ProtocolError("fastcgi-begin")
        role, flags = struct.unpack_from("!HB", record.content)
        keep = bool(flags & KEEP_CONN)
        if role != RESPONDER:
            return Declined(record.request_id, UNKNOWN_ROLE, keep)
        if len(self._open) >= MAX_OPEN:
            return Declined(record.request_id, OVERLOADED, keep)
        self._open[record.request_id] = _Partial(keep)
        return None

    def _params(self, record: Record, partial: _Partial) -> Message | None:
        if partial.named is not None:
            raise ProtocolError("fastcgi-params")
        if not record.content:
            partial.named = parse_pairs(bytes(partial.params))
        partial.params += record.content
        if len(partial.params) > MAX_PARAMS:
            raise ProtocolError("fastcgi-params-size")
        return None

    def _stdin(self, record: Record, partial: _Partial) -> Message | None:
        partial.body += record.content
        if len(partial.body) > MAX_BODY:
            raise ProtocolError("fastcgi-body-size")
        if record.content:
            return None
        if partial.named is None:
            raise ProtocolError("fastcgi-order")
        del self._open[record.request_id]
        return Asked(record.request_id, partial.named, bytes(partial.body), partial.keep)


def parse_pairs(data: bytes) -> dict[str, str]:
    """Name-value pairs."""
    pairs: dict[str, str] = {}
    text, at, size = data.decode("latin-1"), 0, len(data)
    while at < size:
        if at + 1 < size and data[at] < 0x80 and data[at + 1] < 0x80:  # as nearly all are
            name_size, value_size, at = data[at], data[at + 1], at + 2
        else:
            name_size, at = _length(data, at)
            value_size, at = _length(data, at)
        middle = at + name_size
        end = middle + value_size
        if end > size:
            raise ProtocolError("fastcgi-pairs")
        pairs[text[at:middle]] = text[middle:end]
        at = end
    return pairs


def _length(data: bytes, at: int) -> tuple[int, int]:
    if at < len(data) and data[at] < 0x80:
        return data[at], at + 1
    if at + 4 > len(data):
        raise ProtocolError("fastcgi-pairs")
    return int.from_bytes(data[at : at + 4], "big") & 0x7FFFFFFF, at + 4


def encode_pairs(pairs: Iterable[tuple[str, str]]) -> bytes:
    out = bytearray()
    for texts in pairs:
        raw = [text.encode("latin-1") for text in texts]
        for part in raw:
            out += bytes([len(part)]) if len(part) < 0x80 else (len(part) | 0x80000000).to_bytes(4, "big")
        out += b"".join(raw)
    return bytes(out)


def encode_record(kind: int, request_id: int, content: bytes) -> bytes:
    padding = -len(content) % 8
    return HEADER.pack(1, kind, request_id, len(content), padding) + content + bytes(padding)


def encode_end(request_id: int, protocol_status: int = COMPLETE) -> bytes:
    return encode_record(END, request_id, struct.pack("!IB3x", 0, protocol_status))


def encode_answer(request_id: int, output: bytes) -> bytes:
    """STDOUT records, the empty one, END_REQUEST."""
    chunks = [output[at : at + CHUNK] for at in range(0, len(output), CHUNK)]
    records = [encode_record(STDOUT, request_id, chunk) for chunk in (*chunks, b"")]
    return b"".join(records) + encode_end(request_id)
