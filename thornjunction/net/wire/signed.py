"""The second front's URLs: /CLASS/GROUP/OBJECT/PART and a token, to a call; an answer to a response."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from urllib.parse import unquote

from thornjunction import interface as api
from thornjunction.core.ports import Answer, ClientRequest, Failed, Rejected, Served
from thornjunction.net.wire import ProtocolError, ranges
from thornjunction.net.wire.http1 import HttpRequest, HttpResponse
from thornjunction.net.wire.platform import MAX_GROUP, MAX_PART, WORD, number

PACKAGE = "URISigningPackage"  # RFC 9246's name of the attribute and of the cookie
PATH = re.compile(r"/([0-9A-Za-z_-]{1,64})/(0|[1-9]\d{0,2})/([0-9a-f]{16})/(0|[1-9]\d{0,6})", re.ASCII)


class MisuseError(Exception):
    """A request that never reaches the core: its status and a code for the log."""

    def __init__(self, status: int, code: str) -> None:
        super().__init__(code)
        self.status, self.code = status, code


def split_token(request: HttpRequest) -> tuple[str, str]:
    """The target without its token, and the token (RFC 9246 §2.1.15: the package is taken out before the
    URI is matched).  The URI carries it as a query attribute or as a path segment ``URISigningPackage=...``
    (path style, as §2.1.14's depth counts segments); a cookie serves where the URI has none, so that the
    URI decides where the two disagree.  Twice in the URI, or twice in the cookies, is refused, since two
    readers could take one each."""
    path, _, query = request.target.partition("?")
    pairs = [pair for pair in query.split("&") if pair]
    tokens = [pair.partition("=")[2] for pair in pairs if _is_package(pair)]
    kept = [pair for pair in pairs if not _is_package(pair)]
    segments = path.split("/")
    tokens += [segment.partition("=")[2] for segment in segments if _is_package(segment)]
    path = "/".join(segment for segment in segments if not _is_package(segment))
    cookies = [cookie.strip().partition("=") for cookie in request.headers.get("cookie", "").split(";")]
    carried = [value for name, _, value in cookies if name == PACKAGE]
    if len(tokens) > 1 or len(carried) > 1:
        raise MisuseError(401, "token-twice")
    found = tokens or carried
    if not found or not found[0]:
        raise MisuseError(401, "token-missing")
    return path + ("?" + "&".join(kept) if kept else ""), found[0]


def _is_package(pair: str) -> bool:
    return unquote(pair.partition("=")[0]) == PACKAGE


def decode_call(
    request: HttpRequest, target: str, name: str, classes: Mapping[str, api.RequestClass]
) -> ClientRequest:
    """The call; MisuseError for a request that fits no class."""
    found = PATH.fullmatch(target)
    kind = classes.get(found[1]) if found else None
    if found is None or kind is None or int(found[2]) > MAX_GROUP or int(found[4]) > MAX_PART:
        raise MisuseError(404, "no-such-path")
    if request.method not in (("GET", "HEAD") if kind.safety is api.Safety.SAFE else ("POST",)):
        raise MisuseError(405, "method")
    key = request.headers.get("idempotency-key", "").strip('"')
    if (kind.safety is api.Safety.KEYED or key) and not WORD.fullmatch(key):
        raise MisuseError(400, "idempotency-key")
    try:
        asked = number(request.headers.get("x-ttl-ms", str(kind.give_up_ms)), 1e9, "ttl")
        size = number(request.headers.get("x-working-set-kb", "0"), 1e9, "size")
    except ProtocolError as error:
        raise MisuseError(400, str(error)) from error
    have = request.headers.get("if-none-match", "").strip('"')
    return ClientRequest(
        transaction_id=name,
        class_name=kind.name,
        object_id=found[3],
        left_ms=min(asked, kind.give_up_ms),
        part=int(found[4]),
        group=int(found[2]),
        size_kb=size,
        idempotency_key=key if kind.safety is not api.Safety.SAFE else "",
        if_none_match=have if WORD.fullmatch(have) else "",
        body=request.body,
    )


def encode_answer(answer: Answer, request: HttpRequest, extra: Mapping[str, str]) -> HttpResponse:
    """``extra`` holds headers that only a served answer gets, as a renewed token's cookie.  A served body
    is whole, so a range of it (RFC 9110 §14) is cut here; HEAD is told all but the body."""
    keep, head = request.keep_alive, request.method == "HEAD"
    match answer:
        case Served(content):
            headers = {"Cache-Control": "private, no-store"} | dict(extra)
            if content.etag:
                headers["ETag"] = f'"{content.etag}"'
            if content.not_modified:
                return HttpResponse(304, headers, b"", keep)
            part = ranges.choose(request.headers, content.etag, len(content.body))
            headers |= {"Content-Type": "application/octet-stream", "Accept-Ranges": "bytes"}
            if part.content_range:
                headers["Content-Range"] = part.content_range
            return HttpResponse(part.status, headers, content.body[part.start : part.end], keep, head)
        case Rejected(wait_ms):
            return refused(wait_ms / 1000, keep)
        case Failed(timed_out):
            return HttpResponse(504 if timed_out else 502, {}, b"", keep)


def refused(wait_s: float, keep: bool) -> HttpResponse:
    """503: nothing ran; when to come back, in whole seconds, at least one."""
    return HttpResponse(503, {"Retry-After": str(max(math.ceil(wait_s), 1))}, b"", keep)


def encode_misused(status: int, keep: bool, wait_s: float = 0.0) -> HttpResponse:
    """No word here says that trying again is harmless: nothing is known of an earlier try, except where a
    full replay window refused (503) before anything ran."""
    if status == 503:
        return refused(wait_s, keep)
    headers = {"WWW-Authenticate": "URISigning"} if status == 401 else {}
    return HttpResponse(status, headers, b"", keep)


def cookie_for(token: str, target: str, depth: int, lifetime_s: int) -> str:
    """A renewed token as a cookie, for the path's first segments (none: for all paths)."""
    segments = target.partition("?")[0].split("/")[1 : 1 + depth]
    path = "/" + "/".join(segments)
    return f"{PACKAGE}={token}; Path={path}; Max-Age={lifetime_s}; Secure; HttpOnly"
