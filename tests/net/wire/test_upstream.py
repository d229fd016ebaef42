"""Encoding of requests to cache servers."""

from __future__ import annotations

from tests.net.wire.builders import upstream_request
from thornjunction.net.wire import resp, upstream


def test_a_request_has_only_the_fields_that_are_set() -> None:
    request = upstream_request()
    (items,) = resp.ArrayReader().feed(upstream.encode_request(request, request.fetch.timeout_ms))
    name, request_id, fields, body = items
    assert name == b"want"
    assert request_id == b"id"
    assert body == b"b"
    assert fields == (
        b"profile=readings,thing=7f3a9c21e0b4d655,nth=0,max=900,up=p1,store=2,cap=1"
        b",do=only-if-cached+refresh,inm=tag"
    )


def test_a_request_without_a_source_has_no_directives_for_one() -> None:
    request = upstream_request(refresh_in_background=True, cached_only=True)
    (items,) = resp.ArrayReader().feed(upstream.encode_request(request, 900.0))
    assert b"do=" not in items[2]
    assert b"up=" not in items[2]
