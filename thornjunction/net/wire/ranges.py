"""Byte ranges of a complete response (RFC 9110 §14).

One range is served as 206, and one beyond the end is rejected with 416.  Several ranges are served as the
complete response, which §14.2 allows.  ``If-Range`` (§13.1.5) with another entity tag has the same effect.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

# One range with its first and last byte (§14.1.2); either may be missing.
SINGLE_RANGE = re.compile(r"bytes=(\d{0,15})-(\d{0,15})", re.ASCII)


@dataclass(frozen=True, slots=True)
class Part:
    """What is to be sent of a body.

    Attributes:
        status: 200, 206 or 416.
        start: its first byte.
        end: one past its last byte.
        content_range: value of ``Content-Range``; empty: the header is left out.
    """

    status: int
    start: int = 0
    end: int = 0
    content_range: str = ""


def select_part(headers: Mapping[str, str], etag: str, length: int) -> Part:
    """Select the part that a request asks for.

    Args:
        headers: the request's headers, names in lower case.
        etag: entity tag of the response; empty: it has none.
        length: bytes of its body.
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
        return _partial(max(length - int(last), 0), length, length)
    if not last:
        return _partial(int(first), length, length)
    if int(last) < int(first):  # §14.1.1: an invalid range is ignored
        return complete
    return _partial(int(first), min(int(last) + 1, length), length)


def _partial(start: int, end: int, length: int) -> Part:
    """Return the bytes from ``start`` up to ``end``, or 416 where there are none."""
    if start >= length or start >= end:
        return Part(416, content_range=f"bytes */{length}")
    return Part(206, start, end, f"bytes {start}-{end - 1}/{length}")


def _is_current(if_range: str | None, etag: str) -> bool:
    """Whether the client's validator, if it sent one, is the response's strong entity tag (§13.1.5)."""
    if if_range is None:
        return True
    return bool(etag) and if_range.strip() == f'"{etag}"'
