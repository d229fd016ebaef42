"""Events of discovery that are partly or completely malformed."""

from __future__ import annotations

from typing import Any

import pytest
from fakes.watch_messages import edge_entry, summarize_event

from tests.net.discovery.builders import PURGE_2, encode_commands
from thornjunction.net.wire.commands import decode_commands

NAN = float("nan")

# Each event, a summary of the decoded event, and the codes of the faults.
FAULTY_EVENTS = [
    (
        {"nodes": {"hosts": [edge_entry("a"), edge_entry("b", health="odd")]}},
        "a:SERVING b:DRAINING",
        "host-health",
    ),
    ({"nodes": {"hosts": [edge_entry("a", dial="x"), 3]}}, "a:DRAINING", "host-dial host-name"),
    ({"nodes": {"hosts": [edge_entry("a", share=NAN)]}}, "a:SERVING", "host-share"),
    ({"nodes": {"hosts": [edge_entry("a", born_ms=1e300, health="left")]}}, "a:REMOVED", "host-born_ms"),
    ({"nodes": {"hosts": [None, 7], "whole": True}}, "", "host-name host-name event-form"),
    ({"news": {"of": "a later version"}}, "", ""),
    ({"drop": {"family": 3, "when": NAN}}, "None/3/inf", "drop-when"),
    ({"cursor": None, "drop": {"id": "ff", "when": 5}}, "255/0/5.0", "event-cursor"),
    (17, "", "event-cursor event-form"),
]


@pytest.mark.parametrize(("event", "summary", "faults"), FAULTY_EVENTS)
def test_a_faulty_event_blocks_no_other_event_and_hides_no_drain(
    event: Any, summary: str, faults: str
) -> None:
    if isinstance(event, dict):
        event = {"cursor": 3} | event
    commands = decode_commands(encode_commands({**PURGE_2, "cursor": 4}, event, PURGE_2))
    summaries = sorted(summarize_event(command) for command in commands.events)
    assert summaries == sorted(["None/4/5.0"] * 2 + [summary] * bool(summary))
    assert commands.faults == tuple(faults.split())
    assert commands.events[0].cursor == 2
