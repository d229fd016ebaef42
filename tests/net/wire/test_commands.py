"""Decoding of responses of the command channel."""

from __future__ import annotations

import pytest
from fakes.watch_messages import edge_entry

from tests.net.wire.builders import commands_body
from thornjunction import interface as api
from thornjunction.net.wire import commands


def decoded_list_change(data: bytes) -> commands.ListChange:
    """Decode a response whose only event is a change of the list."""
    (change,) = commands.decode_commands(data).events
    assert isinstance(change, commands.ListChange)
    return change


def test_a_list_and_a_purge_are_read() -> None:
    host = {"host": "s1", "dial": "10.1.0.9:80", "site": "east", "class": "std", "health": "leaving"}
    events = [
        {"cursor": 2, "nodes": {"whole": True, "hosts": [host]}},
        {"cursor": 3, "drop": {"id": "ff", "when": 5}},
    ]
    change, purge = commands.decode_commands(commands_body(events, cursor=3)).events
    assert isinstance(change, commands.ListChange)
    assert change.is_complete
    assert change.hosts[0].address == ("10.1.0.9", 80)
    assert change.hosts[0].state is api.ServerState.DRAINING
    assert purge == commands.Purge(3, 255, 0, 5.0)


def test_the_epoch_age_and_list_version_that_a_relay_reports_are_read() -> None:
    event = {"cursor": 1, "nodes": {"seq": 7, "whole": True, "hosts": [edge_entry("c1")]}}
    data = commands_body([event], cursor=1, epoch="r-1.a_B", age=12.5)
    response = commands.decode_commands(data)
    assert response.epoch == "r-1.a_B"
    assert response.age_ms == 12.5
    assert decoded_list_change(data).seq == 7


def test_values_missing_from_a_plain_response_are_none() -> None:
    data = commands_body([{"cursor": 1, "nodes": {"hosts": []}}], cursor=1)
    response = commands.decode_commands(data)
    assert response.epoch is None
    assert response.age_ms is None
    assert decoded_list_change(data).seq is None


@pytest.mark.parametrize("epoch", ["", "x" * 33, "a b", "\n", 7, None])
def test_a_malformed_epoch_is_ignored(epoch: object) -> None:
    assert commands.decode_commands(commands_body([], cursor=1, epoch=epoch)).epoch is None


@pytest.mark.parametrize("age", [-1, "3", True, None, [], float("nan")])
def test_a_malformed_age_is_ignored(age: object) -> None:
    assert commands.decode_commands(commands_body([], cursor=1, age=age)).age_ms is None
