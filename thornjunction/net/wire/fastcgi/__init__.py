"""FastCGI 1.0 for responders: records, the requests that consist of them, and responses.

Source: the FastCGI Specification of 29 April 1996; its sections are cited with §.
"""

from thornjunction.net.wire.fastcgi.encoder import encode_answer, encode_end, encode_record
from thornjunction.net.wire.fastcgi.messages import (
    ManagementReply,
    Message,
    ProtocolStatus,
    Request,
    RequestAborted,
    RequestDeclined,
)
from thornjunction.net.wire.fastcgi.pairs import decode_pairs, encode_pairs
from thornjunction.net.wire.fastcgi.records import HEADER, Record, RecordReader, RecordType
from thornjunction.net.wire.fastcgi.request_reader import MAX_OPEN_REQUESTS, RequestReader

__all__ = [
    "HEADER",
    "MAX_OPEN_REQUESTS",
    "ManagementReply",
    "Message",
    "ProtocolStatus",
    "Record",
    "RecordReader",
    "RecordType",
    "Request",
    "RequestAborted",
    "RequestDeclined",
    "RequestReader",
    "decode_pairs",
    "encode_answer",
    "encode_end",
    "encode_pairs",
    "encode_record",
]
