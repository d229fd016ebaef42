"""HTTP/1.1 messages (RFC 9112) of limited size: readers for requests and responses, and encoders."""

from thornjunction.net.wire.http1.encoder import encode_get, encode_response
from thornjunction.net.wire.http1.messages import REASONS, STATUS_BY_ERROR_CODE, HttpRequest, HttpResponse
from thornjunction.net.wire.http1.reader import RequestReader, ResponseReader

__all__ = [
    "REASONS",
    "STATUS_BY_ERROR_CODE",
    "HttpRequest",
    "HttpResponse",
    "RequestReader",
    "ResponseReader",
    "encode_get",
    "encode_response",
]
