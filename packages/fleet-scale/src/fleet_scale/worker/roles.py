"""The roles of worker processes: each one translates commands into method calls."""

from __future__ import annotations

from fakes.config import listen_on_free_port
from fakes.demo_servers import DemoCacheServer

from fleet_scale.event_plan import INITIAL_WEIGHT
from fleet_scale.messages import (
    Acknowledged,
    BlockRoutes,
    CacheServerFigures,
    CacheServerSettings,
    ClearLatencies,
    Command,
    CommandRejected,
    Deliveries,
    DiscoverySettings,
    EndRouters,
    HollowGroupSettings,
    LoadSettings,
    ProxyCounters,
    ProxyFigures,
    ProxySettings,
    PublishPlan,
    Reply,
    ReportDeliveries,
    ReportMembers,
    ReportRouterStates,
    ResetConnections,
    SetRequestRate,
    Settings,
    StartRouters,
)
from fleet_scale.worker.command_receiver import Role
from fleet_scale.worker.delaying_proxy import DelayingProxy
from fleet_scale.worker.event_discovery import EventDiscovery
from fleet_scale.worker.event_log import build_endpoint_list
from fleet_scale.worker.hollow_router_group import HollowRouterGroup
from fleet_scale.worker.request_load import RequestLoad
from thornjunction.net.event_loop.ports import Reactor

ACKNOWLEDGED = Acknowledged()


def build_role(settings: Settings, reactor: Reactor) -> Role:
    """Build the role that belongs to the type of the settings."""
    match settings:
        case DiscoverySettings():
            return DiscoveryRole(settings, reactor)
        case CacheServerSettings():
            return CacheServerRole(reactor)
        case ProxySettings():
            return ProxyRole(settings, reactor)
        case HollowGroupSettings():
            return HollowGroupRole(settings, reactor)
        case LoadSettings():
            return LoadRole(settings, reactor)


def _reject(command: Command) -> CommandRejected:
    return CommandRejected(f"this role does not implement the command {type(command).__name__}")


class DiscoveryRole:
    """The role of a fake discovery that publishes planned events."""

    def __init__(self, settings: DiscoverySettings, reactor: Reactor) -> None:
        hosts = build_endpoint_list(
            settings.cache_servers, settings.sites, settings.ports, weight=INITIAL_WEIGHT
        )
        self._discovery = EventDiscovery(reactor, hosts)

    def figures(self) -> Reply:
        """Return the counters since the start and the current state."""
        return self._discovery.figures()

    def handle(self, command: Command) -> Reply:
        """Publish the events of a plan."""
        match command:
            case PublishPlan(plan=plan):
                self._discovery.publish(plan)
                return ACKNOWLEDGED
            case _:
                return _reject(command)


class CacheServerRole:
    """The role of a fake cache server."""

    def __init__(self, reactor: Reactor) -> None:
        self._port = listen_on_free_port(reactor, DemoCacheServer)

    def figures(self) -> Reply:
        """Return the listening port."""
        return CacheServerFigures(self._port)

    def handle(self, command: Command) -> Reply:
        """Reject every command: this role implements none."""
        return _reject(command)


class ProxyRole:
    """The role of a proxy process, with one proxy for each of its routes."""

    def __init__(self, settings: ProxySettings, reactor: Reactor) -> None:
        self._counters = ProxyCounters()
        self._proxies: dict[str, DelayingProxy] = {}
        for route in settings.routes:
            proxy = DelayingProxy(reactor, route.target, route.delay_ms, self._counters)
            proxy.listen()
            self._proxies[route.name] = proxy

    def figures(self) -> Reply:
        """Return the listening ports and the counters of all routes."""
        ports = {name: proxy.port for name, proxy in self._proxies.items()}
        open_connections = sum(len(proxy.connections) for proxy in self._proxies.values())
        return ProxyFigures(ports, open_connections, self._counters)

    def handle(self, command: Command) -> Reply:
        """Block directions of routes, or reset their connections."""
        match command:
            case BlockRoutes(routes=routes, directions=directions):
                for name in routes:
                    self._proxies[name].block(frozenset(directions))
            case ResetConnections(names=names):
                for name in names:
                    self._proxies[name].reset_connections()
            case _:
                return _reject(command)
        return ACKNOWLEDGED


class HollowGroupRole:
    """The role of a process that holds hollow routers."""

    def __init__(self, settings: HollowGroupSettings, reactor: Reactor) -> None:
        self._group = HollowRouterGroup(settings, reactor)

    def figures(self) -> Reply:
        """Return the resource usage and the traffic of all routers together."""
        return self._group.figures()

    def handle(self, command: Command) -> Reply:
        """Start or end routers, reset their connections, or report their state."""
        group = self._group
        match command:
            case StartRouters(names=names):
                group.start(names)
            case EndRouters(names=names):
                group.end(names)
            case ResetConnections(names=names):
                group.reset_connections(names)
            case ReportRouterStates(names=names_or_all):
                return group.states(names_or_all)
            case ReportMembers(names=names):
                return group.count_member_states(names)
            case ReportDeliveries(kind=kind, first=first, end=end):
                return Deliveries(group.deliveries.in_range(kind, first, end))
            case _:
                return _reject(command)
        return ACKNOWLEDGED


class LoadRole:
    """The role of the clients that send requests to full routers."""

    def __init__(self, settings: LoadSettings, reactor: Reactor) -> None:
        self._load = RequestLoad(reactor, settings.fronts, settings.requests_per_s)

    def figures(self) -> Reply:
        """Return the counts of requests and quantiles of their latencies."""
        return self._load.figures()

    def handle(self, command: Command) -> Reply:
        """Change the request rate, or discard the latencies measured so far."""
        match command:
            case SetRequestRate(requests_per_s=requests_per_s):
                self._load.requests_per_s = requests_per_s
            case ClearLatencies():
                self._load.clear_latencies()
            case _:
                return _reject(command)
        return ACKNOWLEDGED
