"""The parser of long answers, what a relay tells beside its events, and which purges are fed on."""

from __future__ import annotations

import json
import random
import time
from typing import Any
from unittest.mock import patch

import pytest
from fakes.event_log import encode_events
from fakes.watch_messages import edge_entry, purge_event, purge_events

from tests.net.discovery.builders import build_service
from thornjunction.net.wire import ProtocolError
from thornjunction.net.wire.command_stream import CommandStreamParser
from thornjunction.net.wire.commands import Commands, Purge, decode_commands

ODD = [b"9" * 19, b"9" * 5000, b"1e400", b"-", b"1.", b"NaN", b"nul", b"0" * 50, b"/*", b"\x00", b"[" * 40]
ODD += [b"\xff", b"\xed\xa0\x80", b"\xef\xbb\xbf", b"\xf0\x9f", b"\\ud800", b"\\u00", b"\\"]
ODD += [letter.encode() for letter in '"[]{},:']


def test_purges_whose_hold_has_passed_are_not_fed_to_the_decisions() -> None:
    service = build_service()
    takes_ms, now_ms = service.config.settings.purge_propagation_ms, time.time() * 1000.0
    with patch.object(service.engine, "feed") as feed:
        for number, age_ms in enumerate((takes_ms + 3_600_000.0, takes_ms + 1000.0, takes_ms - 1000.0), 1):
            service.handle_command(Purge(number, number, 0, now_ms - age_ms))
    assert [call.args[0].key for call in feed.call_args_list] == [3]
    service.timer_service.stop()


def test_what_a_relay_tells_more_is_kept_and_else_is_none() -> None:
    change = {"cursor": 1, "nodes": {"seq": 7, "whole": True, "hosts": [edge_entry("c1")]}}
    told = decode_commands(
        json.dumps({"cursor": 1, "cmds": [change], "epoch": "r-1.a_B", "age": 12.5}).encode()
    )
    assert (told.epoch, told.age_ms, told.events[0].seq) == ("r-1.a_B", 12.5, 7)  # type: ignore[union-attr]
    plain = decode_commands(
        json.dumps({"cursor": 1, "cmds": [{"cursor": 1, "nodes": {"hosts": []}}]}).encode()
    )
    assert (plain.epoch, plain.age_ms, plain.events[0].seq) == (None, None, None)  # type: ignore[union-attr]
    for epoch in ("", "x" * 33, "a b", "\n", 7, None):
        assert decode_commands(json.dumps({"cursor": 1, "cmds": [], "epoch": epoch}).encode()).epoch is None
    for age in (-1, "3", True, None, [], float("nan")):
        assert decode_commands(json.dumps({"cursor": 1, "cmds": [], "age": age}).encode()).age_ms is None


def test_a_long_answer_says_what_a_short_one_does() -> None:
    """Byte by byte, and in whatever order it comes."""
    listed = {"cursor": 2, "nodes": {"hosts": [edge_entry("a", share=0.5, born_ms=5)]}}
    events = [purge_event(1), listed, 7, "x", [], None, {}]
    beside = {"more": {"cursor": 3, "cmds": [4]}, "age": 0.5, "cursor": 9}
    long, taken = CommandStreamParser(), list[Any]()
    for byte in json.dumps({"epoch": "e1", "cmds": events} | beside).encode():
        taken += long.feed(bytes([byte]))
    assert taken == events and long.fault == ""
    assert long.finish() == Commands(9, (), epoch="e1", age_ms=0.5)


@pytest.mark.parametrize(
    "text", ["[1]", "7", '{"cmds": {}, "cursor": 1}', '{"cmds": []}', '{"cursor": 1, "cmds": [1']
)
def test_what_is_no_answer_is_none_in_pieces(text: str) -> None:
    long = CommandStreamParser()
    long.feed(text.encode())
    with pytest.raises(ProtocolError, match="commands-form"):
        long.finish()


def spoilt(body: bytes, draw: random.Random) -> bytes:
    """With one to four places changed, cut out or filled with what is odd."""
    changed = bytearray(body)
    for _ in range(draw.choice((1, 1, 2, 4))):
        place = draw.randrange(len(changed))
        changed[place : place + draw.choice((0, 1, 20))] = draw.choice(
            [*ODD, b"", bytes([draw.randrange(256)])]
        )
    return bytes(changed)


def test_what_is_spoilt_anywhere_ends_with_a_code_and_nothing_else() -> None:
    """Guards the process against the parser: each of its faults ended it, or raised what nobody expects."""
    draw, ends = random.Random(1), set[str]()
    listed = {
        "cursor": 8,
        "nodes": {"seq": 3, "whole": True, "hosts": [edge_entry("a", share=0.5), edge_entry("\u00e9")]},
    }
    body = encode_events([*purge_events(1, 7), listed, {"cursor": 9, "x": [None, True, 1.5e3, {}]}], 9)
    for _ in range(3000):
        long, text, size = CommandStreamParser(), spoilt(body, draw), draw.choice((1, 7, 100, 8192))
        for start in range(0, len(text), size):
            if not long.fault:
                long.feed(text[start : start + size])
        try:
            ends.add(long.fault or str(long.finish().cursor))
        except ProtocolError as error:
            ends.add(str(error))
    assert {"9", "commands-form", "commands-depth"} <= ends
