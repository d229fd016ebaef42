"""Records, the frames of FastCGI (§3.3), and the reader that splits a byte stream into them."""

from __future__ import annotations

import struct
from enum import IntEnum
from typing import NamedTuple

from thornjunction.net.wire import ProtocolError

# FCGI_VERSION_1, the only version (§8).
VERSION = 1

# Version, type, request id, content length and padding length of a record (§3.3).
HEADER = struct.Struct("!BBHHBx")

# Size of a record's header.
HEADER_BYTES = HEADER.size

# Request id of records about the connection itself (§3.3).
MANAGEMENT_ID = 0


class RecordType(IntEnum):
    """Type of a record (§8)."""

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


class Record(NamedTuple):
    """One record.

    Attributes:
        kind: a ``RecordType``, or the number of an unknown type.
        request_id: request that the record belongs to; ``MANAGEMENT_ID`` for the connection itself.
        content: content of the record without padding.
    """

    kind: int
    request_id: int
    content: bytes


class RecordReader:
    """Splits a byte stream into records."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """Bytes of an incomplete record."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[Record]:
        """Return all records that are complete now.

        Raises:
            ProtocolError: ``fastcgi-version``, the version is unknown; if records precede the violation,
                they are returned first, and the next call raises the error.
        """
        buffer = self._buffer  # a local name is faster; this runs for each record of each request
        buffer += data
        size = len(buffer)
        records: list[Record] = []
        position = 0
        while (start := position + HEADER_BYTES) <= size:
            version, kind, request_id, length, padding = HEADER.unpack_from(buffer, position)
            if version != VERSION:
                if records:
                    break
                raise ProtocolError("fastcgi-version")
            content_end = start + length
            end = content_end + padding
            if end > size:
                break
            records.append(Record(kind, request_id, bytes(buffer[start:content_end])))
            position = end
        del buffer[:position]
        return records
