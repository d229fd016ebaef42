"""A router with and without the section ``[control]`` in the operators' file."""

from __future__ import annotations

import json
from typing import Any

import pytest
from fakes.event_loop import Steps, reactor, wait_until
from twisted.internet.defer import inlineCallbacks
from twisted.trial.unittest import TestCase

from tests.net.discovery.scripted_source import ScriptedSource
from tests.runtime.test_config import CONFIG
from thornjunction.core.counters import Counters
from thornjunction.net.discovery.watch_client import WatchClient
from thornjunction.runtime.config import parse_config
from thornjunction.runtime.control_settings import ControlSettings
from thornjunction.runtime.errors import ConfigError
from thornjunction.runtime.extras import Extras
from thornjunction.runtime.lifecycle import Lifecycle
from thornjunction.runtime.service import Service


def build_service(extras: Extras, **changes: Any) -> Service:
    """Build a router with the test configuration and these changes; it is not started."""
    config = parse_config(json.dumps(CONFIG | changes).encode(), {})
    return Service(config, extras, reactor, Counters(), lambda: config)


class ControlSectionTest(TestCase):
    timeout = 60

    @inlineCallbacks
    def test_a_router_with_the_section_polls_its_sources_and_shows_their_metrics(self) -> Steps[None]:
        source = ScriptedSource("A").publish_list(5, c1="active")
        self.addCleanup(source.kill)
        service = build_service(Extras(control=ControlSettings("r7", (source.address,))))
        self.addCleanup(service.timer_service.stop)
        service.state = Lifecycle.SERVING  # set directly, so that no fronts are opened
        service.channel.start()
        yield wait_until(lambda: len(source.polls) == 2)
        assert (source.polls[1]["name"], source.polls[1]["epoch"]) == ("r7", "A")
        assert b"router.control_source=0\n" in service.admin_calls.metrics()
        service.reload()
        assert service.channel.address == source.address
        service.channel.stop()
        service.channel.connection.close("test")
        yield wait_until(lambda: service.channel.connection is None)

    def test_a_router_without_the_section_polls_discovery_and_shows_no_metrics_of_sources(self) -> None:
        service = build_service(Extras())
        self.addCleanup(service.timer_service.stop)
        assert type(service.channel) is WatchClient
        assert service.channel.poll_target(1200.0) == "/cmd/next?resume=0&block=1200"
        assert b"control_" not in service.admin_calls.metrics()

    def test_a_name_that_does_not_fit_a_poll_is_rejected(self) -> None:
        extras = Extras(control=ControlSettings("", (("127.0.0.1", 9),)))
        with pytest.raises(ConfigError, match=r"control\.name"):
            build_service(extras, name="a b")
