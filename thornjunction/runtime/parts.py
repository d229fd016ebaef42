"""The parts of a router that the operators' file turns on, each with its libraries imported here and only
where it is on."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from thornjunction.net.alarm import core_ms

if TYPE_CHECKING:
    from thornjunction import interface as api
    from thornjunction.core.counters import Counters
    from thornjunction.core.engine import Engine
    from thornjunction.memory.deadlines import Deadlines
    from thornjunction.net.client_link import ClientTable
    from thornjunction.net.metrics import Metrics
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
