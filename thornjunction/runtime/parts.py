"""The parts of a router that the operators' file turns on, each with its libraries imported here and only
where it is on."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from thornjunction.net.alarm import core_ms
from thornjunction.net.channel import Channel

if TYPE_CHECKING:
    from thornjunction import interface as api
    from thornjunction.core.counters import Counters
    from thornjunction.core.engine import Engine
    from thornjunction.memory.deadlines import Deadlines
    from thornjunction.net.client_link import ClientTable
    from thornjunction.net.metrics import Metrics
    from thornjunction.net.wire.commands import Command
    from thornjunction.runtime.config import Config
    from thornjunction.runtime.extras import Extras
    from thornjunction.runtime.fleet import Fleet
    from thornjunction.runtime.second_front import SecondFront


def second_front(
    extras: Extras | None,
    engine: Engine,
    classes: dict[str, api.RequestClass],
    clients: ClientTable,
    deadlines: Deadlines,
) -> SecondFront | None:
    """The signed-URL front."""
    if extras is None or extras.signed is None:
        return None
    from thornjunction.runtime.second_front import SecondFront

    return SecondFront(extras.signed, engine, classes, clients, deadlines)


def metrics(
    extras: Extras | None, reactor: Any, deadlines: Deadlines, counters: Counters, name: str
) -> Metrics | None:
    """What sends the figures out."""
    if extras is None or extras.metrics is None:
        return None
    from thornjunction.net.metrics import Metrics

    targets = extras.metrics
    made = Metrics(reactor, deadlines, core_ms, time.time, counters, name, targets.interval_s)
    if targets.graphite is not None:
        made.to_graphite(targets.graphite, targets.prefix)
    if targets.collectd is not None:
        made.to_collectd(targets.collectd)
    return made


def fleet(extras: Extras | None, name: str, deadlines: Deadlines) -> Fleet | None:
    """This router's membership of its fleet."""
    if extras is None or extras.fleet is None:
        return None
    from thornjunction.runtime.fleet import Fleet

    return Fleet(extras.fleet, name, deadlines)


def channel(
    extras: Extras | None,
    config: Config,
    reactor: Any,
    deadlines: Deadlines,
    take: Callable[[Command], None],
    on_current: Callable[[], None],
) -> Channel:
    """The command channel: at discovery, or at the sources of ``[control]``.  ConfigError where the router's
    name can't stand in a poll."""
    if extras is None or extras.control is None:
        return Channel(reactor, config.channel, deadlines, core_ms, take, on_current)
    from control_client import HOLD_MS, Sources

    from thornjunction.net.sourced_channel import SourcedChannel
    from thornjunction.runtime.addresses import check_name

    name = extras.control.name or config.name
    check_name("control.name", name)
    sources, words = Sources(extras.control.sources, random.SystemRandom().random), f"&as=router&name={name}"
    hold_ms = max(config.settings.purge_takes_ms, HOLD_MS)  # of relays: they repeat a purge for so long
    return SourcedChannel(
        reactor, sources, hold_ms, deadlines, core_ms, take, on_current, name, lambda _: words
    )
