"""Requests and responses of HTTP/1.1, and the status codes in use."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

# Reason phrases by status.
REASONS = {
    200: "OK",
    206: "Partial Content",
    304: "Not Modified",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    413: "Content Too Large",
    416: "Range Not Satisfiable",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

# Status of the response to a malformed request, by the error's code; 400 for other codes (RFC 9110 §15.5).
STATUS_BY_ERROR_CODE = {"http-head-size": 431, "http-headers": 431, "http-body-size": 413}


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request.

    Attributes:
        method: method as it was received; methods are case-sensitive.
        target: path and query, in origin form.
        headers: values by name in lower case.
        body: content of the request.
        keep_alive: whether the connection stays open after the response.
        size_bytes: number of bytes that it occupies.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    keep_alive: bool
    size_bytes: int = 0


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response.

    Attributes:
        status: status code.
        headers: values by name; the names are in lower case if the response was received.
        body: content of the response.
        keep_alive: whether the connection stays open after the response.
        omits_body: whether the length of the body is sent without the body, as in a response to HEAD.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    keep_alive: bool
    omits_body: bool = False
