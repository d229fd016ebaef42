"""Events of discovery: which of them are fed to the routing decisions, and in which form."""

from __future__ import annotations

import time
from unittest.mock import patch

from fakes.watch_messages import edge_entry

from tests.net.discovery.builders import build_service, encode_commands
from thornjunction.net.wire.commands import ListChange, Purge, decode_commands

START_UNIX_MS = 4e12
LATER_START_UNIX_MS = 4.1e12

# For each listing of the server: the system's clock in s, and the server's start time in Unix ms.
LISTINGS = (
    (1e9, START_UNIX_MS),
    (1e9 + 7.1, START_UNIX_MS),
    (1e9 - 60.0, START_UNIX_MS),
    (1e9, LATER_START_UNIX_MS),
)


def test_a_server_listed_again_with_the_same_start_is_not_a_new_process() -> None:
    """This holds even if the system's clock was stepped between the listings.

    A start time in the future counts as the time of the first listing; a later one is a new process.
    """
    service = build_service()
    servers = []
    for unix_s, started_unix_ms in LISTINGS:
        with patch("thornjunction.net.event_loop.timer_service.time.time", lambda unix_s=unix_s: unix_s):
            entry = edge_entry("c1", born_ms=started_unix_ms)
            commands = decode_commands(encode_commands({"cursor": 1, "nodes": {"hosts": [entry]}}))
            service.handle_command(commands.events[0])
        servers.append(service.router.state.placement.server_list.servers["c1"])
    first, second, third, fourth = servers
    assert first is second is third is not fourth
    service.handle_command(ListChange(2, True, ()))
    assert not service.commands.process_starts._by_server
    service.timer_service.stop()


def test_purges_past_their_retention_are_not_fed_to_the_engine() -> None:
    service = build_service()
    propagation_ms = service.config.settings.purge_propagation_ms
    now_unix_ms = time.time() * 1000.0
    ages_ms = (propagation_ms + 3_600_000.0, propagation_ms + 1000.0, propagation_ms - 1000.0)
    with patch.object(service.engine, "feed") as feed:
        for cursor, age_ms in enumerate(ages_ms, start=1):
            service.handle_command(Purge(cursor, cursor, 0, now_unix_ms - age_ms))
    assert [call.args[0].key for call in feed.call_args_list] == [3]
    service.timer_service.stop()
