"""Requests for signed URLs, ``/CLASS/GROUP/OBJECT/PART`` with a token (RFC 9246), and their responses."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple
from urllib.parse import unquote

from thornjunction import interface as api
from thornjunction.core.ports import Answer, ClientRequest, Content, Failed, Rejected, Served
from thornjunction.net.wire import ProtocolError, ranges
from thornjunction.net.wire.cgi import MAX_GROUP, MAX_PART, MAX_SIZE_KB, WORD, parse_number
from thornjunction.net.wire.http1 import HttpRequest, HttpResponse

# Name of the URI attribute or cookie that contains a token (RFC 9246 §2.1.14).
PACKAGE = "URISigningPackage"

# Path with class, group, object and part.
PATH = re.compile(r"/([0-9A-Za-z_-]{1,64})/(0|[1-9]\d{0,2})/([0-9a-f]{16})/(0|[1-9]\d{0,6})", re.ASCII)

# Longest waiting time that a client may announce; the request's class limits it further.
MAX_CLIENT_WAIT_MS = 1e9

# ``Retry-After`` is in whole seconds (RFC 9110 §10.2.3); with 0, the client would retry immediately.
MIN_RETRY_AFTER_S = 1

# Methods that a class with idempotent requests allows.
READ_METHODS = ("GET", "HEAD")

# Methods that the other classes allow.
WRITE_METHODS = ("POST",)

# Milliseconds per second.
MS_PER_S = 1000


class RejectionCause(StrEnum):
    """Why a request was rejected, as logged; ``TokenError`` has the causes that concern the token itself."""

    IDEMPOTENCY_KEY = "idempotency-key"
    """The idempotency key is malformed, or missing although the class requires one."""
    METHOD = "method"
    """The class does not allow this method."""
    MALFORMED_SIZE = "field-size"
    """The header with the object's size is not a number in its range."""
    MALFORMED_TTL = "field-ttl"
    """The header with the client's remaining time is not a number in its range."""
    NO_SUCH_PATH = "no-such-path"
    """The path does not consist of a known class, a group, an object and a part."""
    TOKEN_MISSING = "token-missing"
    """Neither the URI nor a cookie contains a token."""
    TOKEN_TWICE = "token-twice"
    """The URI or the cookies contain more than one token."""


class RequestError(Exception):
    """A request was rejected before it reached the core.

    Attributes:
        status: status of the response.
        code: cause of the rejection, for the log.
    """

    def __init__(self, status: int, code: RejectionCause) -> None:
        super().__init__(code)
        self.status = status
        self.code = code


class SignedTarget(NamedTuple):
    """A request's target, and the token from the target or from a cookie.

    Attributes:
        target: path and query without the token, as it was signed.
        token: the encoded token.
    """

    target: str
    token: str


def split_token(request: HttpRequest) -> SignedTarget:
    """Separate the token from the target (RFC 9246 §2.1.15: it is removed before the URI is matched).

    The URI contains it as a query attribute or as a path segment ``URISigningPackage=...``; path style, as
    the depth in §2.1.14 counts segments.  A cookie is used only if the URI has no token, so the URI takes
    precedence.

    Raises:
        RequestError: ``token-missing``; ``token-twice``, if the URI or the cookies contain several tokens,
            because two readers could use different ones.
    """
    path, _, query = request.target.partition("?")
    pairs = [pair for pair in query.split("&") if pair]
    segments = path.split("/")
    uri_tokens = [_pair_value(item) for item in (*pairs, *segments) if _is_package(item)]
    cookie_tokens = _cookie_tokens(request)
    if len(uri_tokens) > 1 or len(cookie_tokens) > 1:
        raise RequestError(401, RejectionCause.TOKEN_TWICE)
    tokens = uri_tokens or cookie_tokens
    if not tokens or not tokens[0]:
        raise RequestError(401, RejectionCause.TOKEN_MISSING)
    target = "/".join(segment for segment in segments if not _is_package(segment))
    remaining_pairs = [pair for pair in pairs if not _is_package(pair)]
    if remaining_pairs:
        target += "?" + "&".join(remaining_pairs)
    return SignedTarget(target, tokens[0])


def _cookie_tokens(request: HttpRequest) -> list[str]:
    cookies = [cookie.strip().partition("=") for cookie in request.headers.get("cookie", "").split(";")]
    return [value for name, _, value in cookies if name == PACKAGE]


def _is_package(pair: str) -> bool:
    return unquote(pair.partition("=")[0]) == PACKAGE


def _pair_value(pair: str) -> str:
    return pair.partition("=")[2]


def decode_request(
    request: HttpRequest, target: str, transaction_id: str, classes: Mapping[str, api.RequestClass]
) -> ClientRequest:
    """Decode a request.

    Args:
        request: the request itself.
        target: its target without the token.
        transaction_id: unique id of this request.
        classes: request classes by name.

    Raises:
        RequestError: the request fits no class, or a header is malformed.
    """
    match = PATH.fullmatch(target)
    request_class = classes.get(match[1]) if match else None
    if match is None or request_class is None or int(match[2]) > MAX_GROUP or int(match[4]) > MAX_PART:
        raise RequestError(404, RejectionCause.NO_SUCH_PATH)
    methods = READ_METHODS if request_class.idempotency is api.Idempotency.IDEMPOTENT else WRITE_METHODS
    if request.method not in methods:
        raise RequestError(405, RejectionCause.METHOD)
    idempotency_key = _idempotency_key(request, request_class)
    remaining_ms = _number_header(
        request, "x-ttl-ms", str(request_class.client_timeout_ms), MAX_CLIENT_WAIT_MS, "ttl"
    )
    size_kb = _number_header(request, "x-working-set-kb", "0", MAX_SIZE_KB, "size")
    if_none_match = request.headers.get("if-none-match", "").strip('"')
    return ClientRequest(
        transaction_id=transaction_id,
        class_name=request_class.name,
        object_id=match[3],
        remaining_ms=min(remaining_ms, request_class.client_timeout_ms),
        part=int(match[4]),
        group=int(match[2]),
        size_kb=size_kb,
        idempotency_key=idempotency_key,
        if_none_match=if_none_match if WORD.fullmatch(if_none_match) else "",
        body=request.body,
    )


def _idempotency_key(request: HttpRequest, request_class: api.RequestClass) -> str:
    """Value of ``Idempotency-Key``; empty for a class whose requests are idempotent."""
    key = request.headers.get("idempotency-key", "").strip('"')
    is_required = request_class.idempotency is api.Idempotency.KEYED
    if (is_required or key) and not WORD.fullmatch(key):
        raise RequestError(400, RejectionCause.IDEMPOTENCY_KEY)
    return "" if request_class.idempotency is api.Idempotency.IDEMPOTENT else key


def _number_header(request: HttpRequest, name: str, default: str, max_value: float, code: str) -> float:
    try:
        return parse_number(request.headers.get(name, default), max_value, code)
    except ProtocolError as error:
        raise RequestError(400, RejectionCause(str(error))) from error


def encode_answer(answer: Answer, request: HttpRequest, served_headers: Mapping[str, str]) -> HttpResponse:
    """Return the response for a final answer.

    Args:
        answer: the final answer.
        request: the request that is answered.
        served_headers: additional headers if content is served, such as the cookie of a renewed token.
    """
    match answer:
        case Served(content):
            return _served(content, request, served_headers)
        case Rejected(retry_after_ms):
            return encode_unavailable(retry_after_ms / MS_PER_S, request.keep_alive)
        case Failed(timed_out):
            return HttpResponse(504 if timed_out else 502, {}, b"", request.keep_alive)


def _served(content: Content, request: HttpRequest, served_headers: Mapping[str, str]) -> HttpResponse:
    """Return a response with the complete body or a range of it (RFC 9110 §14), or 304."""
    headers = {"Cache-Control": "private, no-store"} | dict(served_headers)
    if content.etag:
        headers["ETag"] = f'"{content.etag}"'
    if content.not_modified:
        return HttpResponse(304, headers, b"", request.keep_alive)
    part = ranges.select_part(request.headers, content.etag, len(content.body))
    headers["Content-Type"] = "application/octet-stream"
    headers["Accept-Ranges"] = "bytes"
    if part.content_range:
        headers["Content-Range"] = part.content_range
    body = content.body[part.start : part.end]
    return HttpResponse(part.status, headers, body, request.keep_alive, omits_body=request.method == "HEAD")


def encode_unavailable(retry_after_s: float, keep_alive: bool) -> HttpResponse:
    """Return 503: nothing was executed, and the client may retry after these seconds, rounded up."""
    retry_after = max(math.ceil(retry_after_s), MIN_RETRY_AFTER_S)
    return HttpResponse(503, {"Retry-After": str(retry_after)}, b"", keep_alive)


def encode_rejection(status: int, keep_alive: bool, retry_after_s: float = 0.0) -> HttpResponse:
    """Return the response to a request that was rejected before it reached the core.

    Only 503, for a full replay window, states that a retry is harmless, because nothing was executed.  Other
    responses do not state it, because nothing is known of an earlier attempt.
    """
    if status == 503:
        return encode_unavailable(retry_after_s, keep_alive)
    headers = {"WWW-Authenticate": "URISigning"} if status == 401 else {}
    return HttpResponse(status, headers, b"", keep_alive)


def renewal_cookie(token: str, target: str, depth: int, lifetime_s: int) -> str:
    """Return ``Set-Cookie`` for a renewed token, limited to the first ``depth`` segments of the path."""
    segments = target.partition("?")[0].split("/")[1 : 1 + depth]
    path = "/" + "/".join(segments)
    return f"{PACKAGE}={token}; Path={path}; Max-Age={lifetime_s}; Secure; HttpOnly"
