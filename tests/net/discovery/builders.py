"""Parts of tests of the command channel: a router's service, and responses in JSON."""

from __future__ import annotations

import json
from typing import Any

from fakes.event_loop import reactor

from tests.core.test_engine import CONFIG
from thornjunction.core.counters import Counters
from thornjunction.runtime.config import parse_config
from thornjunction.runtime.service import Service


def build_service() -> Service:
    """A router with the decisions' test configuration, which is not started."""
    config = parse_config(json.dumps(CONFIG).encode(), {})
    return Service(config, None, reactor, Counters(), lambda: config)


def encode_commands(*events: Any) -> bytes:
    """The body of a response whose cursor is 4."""
    return json.dumps({"cursor": 4, "cmds": events}).encode()
