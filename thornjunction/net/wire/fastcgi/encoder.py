"""Encoders of records and of responses."""

from __future__ import annotations

import struct

from thornjunction.net.wire.fastcgi.messages import ProtocolStatus
from thornjunction.net.wire.fastcgi.records import HEADER, VERSION, RecordType

# Application status and protocol status of an END_REQUEST record (§5.5).
END_BODY = struct.Struct("!IB3x")

# Content size of one STDOUT record: the largest multiple of eight below 64 KiB, which needs no padding.
STDOUT_CHUNK_BYTES = 65_528

# Records are padded to a multiple of this size, as §3.3 recommends.
RECORD_ALIGNMENT = 8


def encode_record(kind: int, request_id: int, content: bytes) -> bytes:
    """Encode one record with its padding."""
    padding = -len(content) % RECORD_ALIGNMENT
    return HEADER.pack(VERSION, kind, request_id, len(content), padding) + content + bytes(padding)


def encode_end(request_id: int, protocol_status: int = ProtocolStatus.COMPLETE) -> bytes:
    """Encode END_REQUEST with an application status of 0."""
    return encode_record(RecordType.END, request_id, END_BODY.pack(0, protocol_status))


def encode_answer(request_id: int, output: bytes) -> bytes:
    """Encode a complete response: STDOUT records, an empty one as their end, and END_REQUEST."""
    positions = range(0, len(output), STDOUT_CHUNK_BYTES)
    chunks = [output[position : position + STDOUT_CHUNK_BYTES] for position in positions]
    records = [encode_record(RecordType.STDOUT, request_id, chunk) for chunk in (*chunks, b"")]
    return b"".join(records) + encode_end(request_id)
