"""Builders for tests of the watch: a router's service, JSON responses and a watch on a scripted discovery."""

from __future__ import annotations

import json
from typing import Any

from fakes.event_loop import reactor
from fakes.watch_environment import WatchEnvironment
from twisted.trial.unittest import TestCase

from tests.runtime.test_config import CONFIG
from thornjunction.core.counters import Counters
from thornjunction.net.discovery.connection_state import ConnectionState
from thornjunction.runtime.config import parse_config
from thornjunction.runtime.service import Service

PURGE_1 = {"cursor": 1, "drop": {"family": 3, "when": 5}}
PURGE_2 = {"cursor": 2, "drop": {"family": 4, "when": 5}}


def build_service() -> Service:
    """Build a router with the test configuration of the decisions; it is not started."""
    config = parse_config(json.dumps(CONFIG).encode(), {})
    return Service(config, None, reactor, Counters(), lambda: config)


def encode_commands(*events: Any) -> bytes:
    """Encode the body of a response with these events and the cursor 4."""
    return json.dumps({"cursor": 4, "cmds": events}).encode()


class WatchTestCase(TestCase):
    """A watch client on a scripted discovery, with a clock that the test advances."""

    timeout = 60

    def setUp(self) -> None:
        """Build the watch client; it is not started."""
        self.environment = WatchEnvironment()
        self.discovery = self.environment.discovery
        self.addCleanup(self.environment.stop)

    def delivered_cursors(self) -> list[int]:
        """Numbers of the events that the watch client has delivered."""
        return [event.cursor for event in self.environment.received_events]

    def resume_positions(self) -> list[int]:
        """Resume positions of all polls."""
        return [resume for resume, _ in self.discovery.polls]

    def is_paused(self) -> bool:
        """Whether the watch client is connected and waits before its next poll."""
        connection = self.environment.watch_client.connection
        return connection is not None and connection.state is ConnectionState.PAUSED

    def is_disconnected_after_polls(self) -> bool:
        """Whether discovery was polled and the connection has ended."""
        return bool(self.discovery.polls) and self.environment.watch_client.connection is None
