"""Requests and responses of HTTP/1.1, and the status codes that are sent."""

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

# Status for a request that cannot be read, by the error's code; 400 for others (RFC 9110 §15.5).
STATUS_BY_ERROR_CODE = {"http-head-size": 431, "http-headers": 431, "http-body-size": 413}


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete request.

    Attributes:
        method: as it came; methods are case-sensitive.
        target: path and query, in origin form.
        headers: values by name in lower case.
        body: its content.
        keep_alive: whether the connection stays open after the response.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response.

    Attributes:
        status: its status code.
        headers: values by name; of a response that was read, in lower case.
        body: its content.
        keep_alive: whether the connection stays open after it.
        omits_body: whether it answers HEAD; the length of the body is sent, the body is not.
    """

    status: int
    headers: Mapping[str, str]
    body: bytes
    keep_alive: bool
    omits_body: bool = False
