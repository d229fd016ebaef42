"""HTTP/1.1 for clients of signed URLs: ranges (RFC 9110 §14) and errors (§15.5), one case per line."""

from __future__ import annotations

import pytest

from tests.helpers import FILMS
from tests.loopback import FILM_PATH
from thornjunction.core.ports import Content, Served
from thornjunction.net.wire import ProtocolError, http1, ranges, signed

RANGES = [  # section, range, if-range, status, first byte, byte after the last, content-range
    ("14.1.2", "bytes=0-9", None, 206, 0, 10, "bytes 0-9/100"),
    ("14.1.2", "bytes=90-", None, 206, 90, 100, "bytes 90-99/100"),
    ("14.1.2", "bytes=-5", None, 206, 95, 100, "bytes 95-99/100"),
    ("14.1.2", "bytes=-500", None, 206, 0, 100, "bytes 0-99/100"),
    ("14.1.2", "bytes=50-500", None, 206, 50, 100, "bytes 50-99/100"),
    ("14.1.1", "bytes=9-3", None, 200, 0, 100, ""),
    ("14.1.1", "bytes=-", None, 200, 0, 100, ""),
    ("14.2", "bytes=0-1,5-6", None, 200, 0, 100, ""),
    ("14.2", "items=0-1", None, 200, 0, 100, ""),
    ("15.5.17", "bytes=100-", None, 416, 0, 0, "bytes */100"),
    ("13.1.5", "bytes=0-9", '"t1"', 206, 0, 10, "bytes 0-9/100"),
    ("13.1.5", "bytes=0-9", '"t0"', 200, 0, 100, ""),
    ("13.1.5", "bytes=0-9", "Sat, 1 Jan 2000 00:00:00 GMT", 200, 0, 100, ""),
]


@pytest.mark.parametrize(("section", "value", "if_range", "status", "start", "end", "content_range"), RANGES)
def test_ranges_follow_rfc_9110(
    section: str, value: str, if_range: str | None, status: int, start: int, end: int, content_range: str
) -> None:
    headers = {"range": value}
    if if_range is not None:
        headers["if-range"] = if_range
    part = ranges.select_part(headers, "t1", 100)
    assert part == ranges.Part(status, start, end, content_range), f"§{section}"


LIMITS = [  # section, request bytes, code and status of the error
    ("15.5.21", b"GET / HTTP/1.1\r\n" + b"x: y\r\n" * 70 + b"\r\n", "http-headers", 431),
    ("15.5.21", b"GET / HTTP/1.1\r\nx: " + b"y" * 20_000, "http-head-size", 431),
    ("15.5.14", b"POST / HTTP/1.1\r\ncontent-length: 70000\r\n\r\n", "http-body-size", 413),
    ("15.5.14", b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n20000\r\n", "http-body-size", 413),
    (
        "6.3",
        b"POST / HTTP/1.1\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n",
        "http-framing",
        400,
    ),
    ("5.3", b"GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n", "http-header-twice", 400),
    ("9.1", b"GET / HTTP/2.0\r\n\r\n", "http-version", 400),
]


@pytest.mark.parametrize(("section", "data", "error_code", "status"), LIMITS)
def test_a_request_that_is_malformed_or_over_a_limit_is_rejected(
    section: str, data: bytes, error_code: str, status: int
) -> None:
    with pytest.raises(ProtocolError, match=error_code):
        http1.RequestReader(65_536).feed(data)
    assert http1.STATUS_BY_ERROR_CODE.get(error_code, 400) == status, f"RFC 9110 §{section}"


def test_head_is_answered_with_the_length_and_without_the_body() -> None:
    """RFC 9110 §9.3.2: HEAD is accepted for a class whose requests are idempotent."""
    request = http1.HttpRequest("HEAD", FILM_PATH, {}, b"", keep_alive=True)
    assert signed.decode_request(request, FILM_PATH, "n", {"films": FILMS}).class_name == "films"
    response = signed.encode_answer(Served(Content(b"abc", "t1", not_modified=False)), request, {})
    assert http1.encode_response(response).endswith(b"Content-Length: 3\r\n\r\n")
