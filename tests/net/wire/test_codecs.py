"""Every parser: valid messages cut anywhere read the same, and garbage ends in a code, never in a crash."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import pytest
from fakes.clients import encode_fastcgi_request
from hypothesis import given, settings
from hypothesis import strategies as st

from thornjunction import interface as api
from thornjunction.core.ports import ClientRequest, Content, Failed, Rejected, Served, UpstreamRequest
from thornjunction.net.wire import (
    ProtocolError,
    cgi,
    collectd,
    commands,
    fastcgi,
    graphite,
    http1,
    resp,
    upstream,
)

fixed = settings(derandomize=True, max_examples=60, deadline=None)
PARAMS = {"SCRIPT_NAME": "/do/clips", "HTTP_X_TXN": "9b1f03aa5c7e2d41", "HTTP_X_ROW": "7f3a9c21e0b4d655"} | {
    "HTTP_X_TTL_MS": "1500",
    "HTTP_X_WORKING_SET_KB": "412.5",
    "LONG": "x" * 300,
}


def asked(ident: int = 7, params: dict[str, str] = PARAMS, body: bytes = b"body", keep: int = 1) -> bytes:
    return encode_fastcgi_request(ident, params, body, keep)


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n"
PLAIN = b"POST /a?b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz"
READERS: list[tuple[Callable[[], Any], bytes]] = [
    (fastcgi.RequestReader, asked() + fastcgi.encode_record(fastcgi.RecordType.ABORT, 7, b"") + asked(8)),
    (resp.ArrayReader, resp.encode_array((b"id", b"DONE", b"-", b"\r\n$9*")) * 2),
    (lambda: http1.RequestReader(10), PLAIN * 2),
    (lambda: http1.ResponseReader(10), CHUNKED + b"HTTP/1.1 204 X\r\n\r\n"),
]


@pytest.mark.parametrize(("build", "data"), READERS)
@given(cuts=st.lists(st.integers(0, 900), max_size=12))
@fixed
def test_cuts_do_not_matter(build: Callable[[], Any], data: bytes, cuts: list[int]) -> None:
    whole, reader = build().feed(data), build()
    places = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    pieces = [data[a:b] for a, b in zip(places, places[1:], strict=False)]
    assert [message for piece in pieces for message in reader.feed(piece)] == whole
    assert len(whole) >= 2


@pytest.mark.parametrize(("build", "data"), READERS)
@given(junk=st.binary(max_size=200), at=st.integers(0, 600))
@fixed
def test_garbage_ends_in_a_code(build: Callable[[], Any], data: bytes, junk: bytes, at: int) -> None:
    try:
        build().feed(data[:at] + junk + data[at:])
    except ProtocolError as error:
        assert str(error)


@given(st.binary(max_size=300) | st.text(max_size=60).map(str.encode))
@fixed
def test_garbage_as_commands_answers_and_fields(junk: bytes) -> None:
    texts = dict.fromkeys((*PARAMS, "HTTP_X_PART"), junk.decode("latin-1"))
    for parse in (
        lambda: commands.decode_commands(junk),
        lambda: upstream.decode_response((b"id", b"DONE", junk, b"")),
        lambda: cgi.decode_request(PARAMS | texts, b""),
        lambda: fastcgi.decode_pairs(junk),
    ):
        try:
            parse()
        except ProtocolError as error:
            assert str(error)
    upstream.decode_report(junk.decode("latin-1"))


def test_request_is_read() -> None:
    (message,) = fastcgi.RequestReader().feed(asked(keep=0))
    assert message == fastcgi.Request(7, PARAMS, b"body", False)
    call = cgi.decode_request(PARAMS, b"body")
    assert (call.class_name, call.left_ms, call.size_kb, call.group) == ("clips", 1500.0, 412.5, 0)


@pytest.mark.parametrize("field", ["HTTP_X_TXN", "HTTP_X_ROW", "HTTP_X_TTL_MS", "SCRIPT_NAME"])
def test_a_missing_field_is_named(field: str) -> None:
    with pytest.raises(ProtocolError):
        cgi.decode_request({name: value for name, value in PARAMS.items() if name != field}, b"")


def test_answers_on_fastcgi() -> None:
    assert cgi.encode_response(Served(Content(b"abc"))) == b"Status: 200\r\n\r\nabc"
    assert cgi.encode_response(Served(Content(b"", not_modified=True))) == b"Status: 200\r\nX-Same: 1\r\n\r\n"
    assert cgi.encode_response(Rejected(499.2)) == b"Status: 503\r\nX-Throttle-Ms: 500\r\n\r\n"
    assert cgi.encode_response(Failed(True)).startswith(b"Status: 504")
    records = fastcgi.RecordReader().feed(fastcgi.encode_answer(3, b"x" * 70_000))
    assert b"".join(r.content for r in records if r.kind == fastcgi.RecordType.STDOUT) == b"x" * 70_000
    assert [r.kind for r in records][-2:] == [fastcgi.RecordType.STDOUT, fastcgi.RecordType.END]


def order(**more: Any) -> UpstreamRequest:
    call = ClientRequest("id", "readings", "7f3a9c21e0b4d655", 900.0, if_none_match="tag", body=b"b")
    fetch = api.StartAttempt(
        "1", "s1", 900.7, "p1", retention_rank=2, max_age_ms=0.4, refresh_in_background=True, cached_only=True
    )
    return UpstreamRequest(1, call, fetch if not more else api.StartAttempt("1", "s1", 900.7, "s1", **more))


def test_want_has_the_listed_fields_only() -> None:
    (items,) = resp.ArrayReader().feed(upstream.encode_request(order(), order().fetch.timeout_ms))
    assert items[:2] == (b"want", b"id") and items[3] == b"b"
    told = b"profile=readings,thing=7f3a9c21e0b4d655,nth=0,max=900,up=p1,store=2,cap=1"
    assert items[2] == told + b",do=only-if-cached+refresh,inm=tag"


def test_without_a_source_nothing_is_renewed_or_asked_of_it() -> None:
    (items,) = resp.ArrayReader().feed(
        upstream.encode_request(order(refresh_in_background=True, cached_only=True), 900.0)
    )
    assert b"do=" not in items[2] and b"up=" not in items[2]


def test_commands_are_read() -> None:
    host = {"host": "s1", "dial": "10.1.0.9:80", "site": "east", "class": "std", "health": "leaving"}
    told = {"cursor": 3, "cmds": [{"cursor": 2, "nodes": {"whole": True, "hosts": [host]}}]}
    told["cmds"].append({"cursor": 3, "drop": {"id": "ff", "when": 5}})  # type: ignore[attr-defined]
    change, purge = commands.decode_commands(json.dumps(told).encode()).events
    assert isinstance(change, commands.ListChange) and change.is_complete
    assert (change.hosts[0].address, change.hosts[0].state) == (("10.1.0.9", 80), api.ServerState.DRAINING)
    assert purge == commands.Purge(3, 255, 0, 5.0)


def test_a_second_length_is_refused() -> None:
    with pytest.raises(ProtocolError, match="http-header-twice"):
        http1.RequestReader(9).feed(b"GET / HTTP/1.1\r\nContent-Length: 1\r\ncontent-length: 2\r\n\r\n")


def test_graphite_lines_and_collectd_packets_decode() -> None:
    samples = [graphite.Sample("requests.a b.count", 7, counter=True), graphite.Sample("x.mean_ms", 2.5)]
    lines = graphite.encode_lines("tj.n1", samples, 99.9).decode().splitlines()
    assert lines == ["tj.n1.requests.a_b.count 7 99", "tj.n1.x.mean_ms 2.5 99"]
    packets = collectd.encode_packets("n1", samples * 40, 10.5, 10.0)
    assert len(packets) > 1 and all(len(packet) <= collectd.MAX_PACKET_BYTES for packet in packets)
    assert sum((collectd_values(packet) for packet in packets), []) == [7, 2.5] * 40


def collectd_values(packet: bytes) -> list[float]:
    """A reader of its own, by the protocol's description."""
    import struct

    values: list[float] = []
    at = 0
    while at < len(packet):
        part, size = struct.unpack_from(">HH", packet, at)
        if part == collectd.PartType.VALUES:
            (code,) = struct.unpack_from("B", packet, at + 6)
            form = ">q" if code == collectd.DataSourceType.DERIVE else "<d"
            values.append(struct.unpack_from(form, packet, at + 7)[0])
        elif part == collectd.PartType.TIME_HR:
            assert struct.unpack_from(">Q", packet, at + 4)[0] == int(10.5 * 2**30)
        at += size
    return values
