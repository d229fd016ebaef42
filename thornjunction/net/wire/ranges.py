"""Byte ranges of a complete response (RFC 9110 §14).

A single range is served with 206, or rejected with 416 if it is beyond the end.  A request for several ranges
gets the complete response, which §14.2 allows; so does one with another entity tag in ``If-Range`` (§13.1.5).
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

# A single range with its first and last byte (§14.1.2); either may be missing.
SINGLE_RANGE = re.compile(r"bytes=(\d{0,15})-(\d{0,15})", re.ASCII)


@dataclass(frozen=True, slots=True)
class Part:
    """The part of a body that is sent.

    Attributes:
        status: status of the response: 200, 206 or 416.
        start: position of the first byte.
        end: position after the last byte.
        content_range: value of ``Content-Range``; if it is empty, the header is not sent.
    """

    status: int
    start: int = 0
    end: int = 0
    content_range: str = ""


def select_part(headers: Mapping[str, str], etag: str, length: int) -> Part:
    """Select the part of the body that a request asks for.

    Args:
        headers: headers of the request, by name in lower case.
        etag: entity tag of the response; empty if it has none.
        length: length of the response's body in bytes.
    """
    complete = Part(200, 0, length)
    text = headers.get("range", "").replace(" ", "")
    if not text or not _is_current(headers.get("if-range"), etag):
        return complete
    match = SINGLE_RANGE.fullmatch(text)
    if match is None:  # several ranges, or another unit
        return complete
    first = match[1]
    last = match[2]
    if not first and not last:
        return complete
    if not first:
        return _partial_content(max(length - int(last), 0), length, length)
    if not last:
        return _partial_content(int(first), length, length)
    if int(last) < int(first):  # §14.1.1: an invalid range is ignored
        return complete
    return _partial_content(int(first), min(int(last) + 1, length), length)


def _partial_content(start: int, end: int, length: int) -> Part:
    """Return the bytes from ``start`` up to ``end``, or status 416 if the range is empty."""
    if start >= length or start >= end:
        return Part(416, content_range=f"bytes */{length}")
    return Part(206, start, end, f"bytes {start}-{end - 1}/{length}")


def _is_current(if_range: str | None, etag: str) -> bool:
    """Whether the client sent no validator, or the response's strong entity tag as one (§13.1.5)."""
    if if_range is None:
        return True
    return bool(etag) and if_range.strip() == f'"{etag}"'
