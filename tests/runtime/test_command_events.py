"""Events of discovery, translated for the decisions."""

from __future__ import annotations

from unittest.mock import patch

from fakes.watch_messages import edge_entry

from tests.net.discovery.builders import build_service, encode_commands
from thornjunction.net.wire.commands import ListChange, decode_commands

START_UNIX_MS = 4e12
LATER_START_UNIX_MS = 4.1e12

# The system's clock, and when the server was started, at each listing.
LISTINGS = (
    (1e9, START_UNIX_MS),
    (1e9 + 7.1, START_UNIX_MS),
    (1e9 - 60.0, START_UNIX_MS),
    (1e9, LATER_START_UNIX_MS),
)


def test_a_server_that_is_listed_again_is_no_new_process() -> None:
    """Also where the system's clock was stepped; a start in the future counts as the first listing's time.

    A later start is a new process.
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
    service.alarm.stop()
