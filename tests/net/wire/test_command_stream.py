"""Incremental parser of responses that are received in parts."""

from __future__ import annotations

import json
import random

import pytest
from fakes.watch_messages import edge_entry, purge_event, purge_events

from tests.net.wire.builders import commands_body
from thornjunction.net.wire import ProtocolError
from thornjunction.net.wire.command_stream import CommandStreamParser
from thornjunction.net.wire.commands import Commands

# Bytes that corrupt a response: numbers, texts and brackets that parsers have failed on.
ODD_NUMBERS = [b"9" * 19, b"9" * 5000, b"1e400", b"-", b"1.", b"NaN", b"0" * 50]
ODD_TEXTS = [b"\xff", b"\xed\xa0\x80", b"\xef\xbb\xbf", b"\xf0\x9f", b"\\ud800", b"\\u00", b"\\"]
ODD_TOKENS = [b"nul", b"/*", b"\x00", b"[" * 40, *(mark.encode() for mark in '"[]{},:')]
ODD_BYTES = [*ODD_NUMBERS, *ODD_TEXTS, *ODD_TOKENS]

# Number of corrupted responses that are parsed.
CORRUPTED_RESPONSES = 3000


def test_a_response_in_parts_is_parsed_like_a_complete_one() -> None:
    """The response is parsed byte by byte, and its keys are in an unusual order."""
    listed = {"cursor": 2, "nodes": {"hosts": [edge_entry("a", share=0.5, born_ms=5)]}}
    events = [purge_event(1), listed, 7, "x", [], None, {}]
    document = {"epoch": "e1", "cmds": events, "more": {"cursor": 3, "cmds": [4]}, "age": 0.5, "cursor": 9}
    parser = CommandStreamParser()
    parsed_events: list[object] = []
    for byte in json.dumps(document).encode():
        parsed_events += parser.feed(bytes([byte]))
    assert parsed_events == events
    assert parser.fault == ""
    assert parser.finish() == Commands(9, (), epoch="e1", age_ms=0.5)


@pytest.mark.parametrize(
    "text", ["[1]", "7", '{"cmds": {}, "cursor": 1}', '{"cmds": []}', '{"cursor": 1, "cmds": [1']
)
def test_a_document_that_is_not_a_response_is_rejected(text: str) -> None:
    parser = CommandStreamParser()
    parser.feed(text.encode())
    with pytest.raises(ProtocolError, match="commands-form"):
        parser.finish()


def corrupt(data: bytes, rng: random.Random) -> bytes:
    """Replace, remove or insert bytes at one to four random positions."""
    changed = bytearray(data)
    for _ in range(rng.choice((1, 1, 2, 4))):
        position = rng.randrange(len(changed))
        removed_bytes = rng.choice((0, 1, 20))
        inserted = rng.choice([*ODD_BYTES, b"", bytes([rng.randrange(256)])])
        changed[position : position + removed_bytes] = inserted
    return bytes(changed)


def parse_in_pieces(data: bytes, piece_bytes: int) -> str:
    """Parse a response in pieces; return its cursor as text, or the code of its fault or error."""
    parser = CommandStreamParser()
    for start in range(0, len(data), piece_bytes):
        if not parser.fault:
            parser.feed(data[start : start + piece_bytes])
    if parser.fault:
        return parser.fault
    try:
        return str(parser.finish().cursor)
    except ProtocolError as error:
        return str(error)


def test_a_corrupted_response_causes_only_errors_with_a_code() -> None:
    """Guards against bugs of ``ijson`` that ended the process or raised unexpected exceptions."""
    rng = random.Random(1)
    listed = {
        "cursor": 8,
        "nodes": {"seq": 3, "whole": True, "hosts": [edge_entry("a", share=0.5), edge_entry("\u00e9")]},
    }
    events = [*purge_events(1, 7), listed, {"cursor": 9, "x": [None, True, 1.5e3, {}]}]
    data = commands_body(events, cursor=9)
    results: set[str] = set()
    for _ in range(CORRUPTED_RESPONSES):
        results.add(parse_in_pieces(corrupt(data, rng), rng.choice((1, 7, 100, 8192))))
    assert {"9", "commands-form", "commands-depth"} <= results
