"""Events and reports that the watch client delivers."""

from __future__ import annotations

from unittest.mock import Mock

from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.discovery.watch import WatchHandlers
from thornjunction.net.discovery.watch_client import WatchClient
from thornjunction.net.discovery.watch_context import WatchContext
from thornjunction.net.wire.commands import Command, Commands, Purge


def purge(cursor: int) -> Purge:
    return Purge(cursor, 1, 0, 0.0)


def watch_client(handlers: WatchHandlers) -> WatchClient:
    """Build a client that does not connect."""
    context = WatchContext(Mock(), Deadlines(), lambda: 0.0)
    return WatchClient(context, ("127.0.0.1", 1), handlers)


def test_the_first_response_is_reported_once_after_its_events() -> None:
    """A process that replaces another one serves once it has received the events that its list lacks."""
    reports: list[object] = []
    client = watch_client(WatchHandlers(reports.append, lambda: reports.append("synchronized")))
    for cursor in (1, 2):
        client.handle_response(Commands(cursor, (purge(cursor),)), is_stable=False)
    assert reports == [purge(1), "synchronized", purge(2)]


def test_an_event_that_is_received_twice_is_delivered_once() -> None:
    delivered: list[Command] = []
    client = watch_client(WatchHandlers(delivered.append))
    events = (purge(1), purge(2), purge(3))
    client.feed.apply(Commands(2, events[:2]))
    client.feed.apply(Commands(3, events[1:]))
    assert delivered == list(events)
    assert client.cursor == 3
