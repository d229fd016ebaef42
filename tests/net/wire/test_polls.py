"""Decoding of polls, and encoding of the endpoint list that a relay passes on."""

from __future__ import annotations

from typing import Any

import pytest

from thornjunction.net.wire import ProtocolError
from thornjunction.net.wire.commands import Commands, encode_host, parse_commands
from thornjunction.net.wire.polls import MAX_PAIRS, Poll, decode_poll

INVALID_QUERIES = {
    "resume=": "poll-resume",
    "block=5": "poll-resume",
    "resume=-1": "poll-resume",
    "resume=1.5": "poll-resume",
    "resume=٣": "poll-resume",
    "resume=9999999999999999": "poll-resume",
    "resume=1&block=x": "poll-block",
    "resume=1&resume=2": "poll-pairs",
    "resume=1&as=king": "poll-as",
    "resume=1&epoch=a%20b": "poll-epoch",
    "resume=1&name=" + "x" * 33: "poll-name",
    "resume=1&done=x": "poll-done",
    "resume=1&behind=x": "poll-behind",
    "resume=1&names=" + ",".join("abcdefghi"): "poll-names",
    "resume=1&names=a,,b": "poll-names",
    "resume=1&x=" + "x" * 1024: "poll-size",
    "&".join(["resume=1", *(f"k{number}=1" for number in range(MAX_PAIRS))]): "poll-pairs",
}

SERVER_ENTRY = {
    "host": "s1",
    "dial": "127.0.0.1:9",
    "site": "z",
    "class": "box",
    "health": "active",
    "block": 2,
}


def parse_list(entry: dict[str, Any]) -> Commands:
    """Parse a response whose list has one entry."""
    event = {"cursor": 1, "nodes": {"seq": 1, "whole": True, "hosts": [entry]}}
    return parse_commands({"cursor": 1, "cmds": [event]})


def test_a_poll_is_decoded() -> None:
    assert decode_poll("/cmd/next?resume=3&block=1200") == Poll(3, 1200)
    assert decode_poll("/cmd/next?resume=3&block=99999&more=1") == Poll(3, 5000)
    poll = decode_poll(
        "/cmd/next?resume=3&block=5&epoch=e-1.x&as=relay&name=r_1&done=2&behind=7&names=a%2Cb,c"
    )
    assert poll == Poll(3, 5, "e-1.x", "relay", "r_1", 2, 7, ("a", "b", "c"))
    assert poll.without_waiting().block_ms == 0


@pytest.mark.parametrize("query", INVALID_QUERIES)
def test_an_invalid_poll_is_rejected_with_its_code(query: str) -> None:
    with pytest.raises(ProtocolError, match=INVALID_QUERIES[query]):
        decode_poll(f"/cmd/next?{query}")
    with pytest.raises(ProtocolError, match="poll-path"):
        decode_poll(f"/cmd/nex?{query}")


@pytest.mark.parametrize(
    "fields",
    [
        {},
        {"dial": ""},
        {"dial": "nowhere"},
        {"health": "leaving", "share": 0.5, "born_ms": 1764576000123},
        {"health": "left"},
        {"health": "unwell"},
        {"health": None, "share": "much"},
        {"block": "x", "born_ms": -5},
        {"site": "east", "more": 7},
    ],
)
def test_an_entry_is_encoded_as_it_was_decoded(fields: dict[str, Any]) -> None:
    """An entry with faults is encoded as the server that was decoded, without faults for the next reader."""
    (change,) = parse_list(SERVER_ENTRY | fields).events
    commands = parse_list(encode_host(change.hosts[0]))
    assert commands.events == (change,)
    assert not commands.faults
