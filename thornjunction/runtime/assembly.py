"""The composition root: which parts a router has, and how they are connected.

A part that the operators' file enables is imported only if it is enabled: a router without it does not load
its libraries.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from thornjunction.core.counters import Counters
from thornjunction.core.engine import Engine
from thornjunction.core.load_shedding import LoadShedder
from thornjunction.memory.budget import ByteBudget
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.discovery.watch import Watch, WatchHandlers
from thornjunction.net.discovery.watch_client import WatchClient
from thornjunction.net.discovery.watch_context import WatchContext
from thornjunction.net.downstream.connection_table import DownstreamTable
from thornjunction.net.downstream.overhead import OverheadMeter
from thornjunction.net.event_loop.timer_service import TimerService, core_ms
from thornjunction.net.upstream.connection_pool import ConnectionPool
from thornjunction.policy.router import Router
from thornjunction.runtime.drain import Drain
from thornjunction.runtime.optional_parts import OptionalParts
from thornjunction.runtime.process_reactor import ProcessReactor
from thornjunction.runtime.request_path import RequestPath

if TYPE_CHECKING:
    from thornjunction import interface as api
    from thornjunction.net.telemetry.metrics_exporter import MetricsExporter
    from thornjunction.net.wire.commands import Command
    from thornjunction.runtime.config import Config
    from thornjunction.runtime.extras import Extras
    from thornjunction.runtime.fleet import FleetMember
    from thornjunction.runtime.signed_front import SignedFront

# One third of the sockets is reserved for client connections.
CLIENT_SOCKETS_DIVISOR = 3


def build_request_path(config: Config, reactor: ProcessReactor, counters: Counters) -> RequestPath:
    """Build and connect the parts that each request passes through."""
    timer_service = TimerService(reactor)
    buffer_budget = ByteBudget(config.buffer_bytes)
    pool = ConnectionPool(reactor, config.pool_limits, timer_service.deadlines, core_ms, buffer_budget)
    router = Router(config.settings, config.seed, config.name)
    engine = Engine(router, config.settings.max_attempts, core_ms, timer_service.deadlines, pool, counters)
    pool.report_to(engine)
    _share_executions(config, engine)
    max_clients = max(config.sockets // CLIENT_SOCKETS_DIVISOR, 1)
    clients = DownstreamTable(max_clients, buffer_budget, OverheadMeter())
    return RequestPath(
        timer_service=timer_service,
        clients=clients,
        engine=engine,
        router=router,
        pool=pool,
        drain=Drain(clients, timer_service.deadlines, core_ms, engine.answer_all_now),
        load_shedder=LoadShedder(random.Random(config.seed).random, config.cores),
        counters=counters,
    )


def _share_executions(config: Config, engine: Engine) -> None:
    """Share possible executions with the process that this one replaces, or that replaces it."""
    if not config.handover_folder:
        return
    from thornjunction.core.execution_sharing import ExecutionSharing
    from thornjunction.runtime.execution_store import SharedExecutions

    store = SharedExecutions(config.handover_folder, config.name, core_ms)
    store.open()
    engine.execution_sharing = ExecutionSharing(store, engine.feed)


def build_optional_parts(
    extras: Extras | None,
    name: str,
    path: RequestPath,
    classes: dict[str, api.RequestClass],
    reactor: ProcessReactor,
) -> OptionalParts:
    """Build the parts that the operators' file enables.

    Raises:
        ConfigError: a part cannot be built from its settings.
    """
    if extras is None:
        return OptionalParts()
    deadlines = path.timer_service.deadlines
    return OptionalParts(
        _build_signed_front(extras, path, classes),
        _build_metrics(extras, reactor, deadlines, path.counters, name),
        _build_fleet_member(extras, name, deadlines),
    )


def _build_signed_front(
    extras: Extras, path: RequestPath, classes: dict[str, api.RequestClass]
) -> SignedFront | None:
    if extras.signed is None:
        return None
    from thornjunction.runtime.signed_front import SignedFront

    return SignedFront(extras.signed, path.engine, classes, path.clients, path.timer_service.deadlines)


def _build_metrics(
    extras: Extras, reactor: ProcessReactor, deadlines: Deadlines, counters: Counters, name: str
) -> MetricsExporter | None:
    if extras.metrics is None:
        return None
    from thornjunction.net.telemetry.metrics_exporter import MetricsExporter, MetricsSource

    settings = extras.metrics
    source = MetricsSource(counters, name, settings.interval_s)
    metrics = MetricsExporter(reactor, deadlines, core_ms, time.time, source)
    if settings.graphite is not None:
        metrics.add_graphite(settings.graphite, settings.prefix)
    if settings.collectd is not None:
        metrics.add_collectd(settings.collectd)
    return metrics


def _build_fleet_member(extras: Extras, name: str, deadlines: Deadlines) -> FleetMember | None:
    if extras.fleet is None:
        return None
    from thornjunction.runtime.fleet import FleetMember

    return FleetMember(extras.fleet, name, deadlines)


def build_channel(
    extras: Extras | None,
    config: Config,
    reactor: ProcessReactor,
    deadlines: Deadlines,
    handle_command: Callable[[Command], None],
    on_synchronized: Callable[[], None],
) -> Watch:
    """Build the command channel, which polls discovery or the sources of ``[control]``.

    Raises:
        ConfigError: the router's name cannot be used in a poll.
    """
    context = WatchContext(reactor, deadlines, core_ms)
    handlers = WatchHandlers(handle_command, on_synchronized)
    if extras is None or extras.control is None:
        return WatchClient(context, config.discovery, handlers)
    from control_client import PURGE_RETENTION_MS, SourceSelector

    from thornjunction.net.discovery.multi_source_watch import MultiSourceWatch, PollIdentity
    from thornjunction.runtime.addresses import check_name

    name = extras.control.name or config.name
    check_name("control.name", name)
    query = f"&as=router&name={name}"
    # Relays may repeat a purge for as long as they retain it, so it must be recognized for that long.
    retention_ms = max(config.settings.purge_propagation_ms, PURGE_RETENTION_MS)
    selector = SourceSelector(extras.control.sources, random.SystemRandom().random)
    return MultiSourceWatch(context, selector, retention_ms, PollIdentity(name, lambda _: query), handlers)
