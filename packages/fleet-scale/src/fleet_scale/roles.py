"""The roles that a worker can take, each a thin command surface over its part."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

from fakes.config import listen_on_free_port
from fakes.demo_servers import DemoCacheServer

from fleet_scale.discovery import Discovery
from fleet_scale.event_log import listed
from fleet_scale.hollows import Hollows
from fleet_scale.links import Route
from fleet_scale.load import Load
from fleet_scale.plan import SHARE, Changes, Purges
from fleet_scale.worker import Role

PLANS: Mapping[str, Callable[..., Purges | Changes]] = {"purges": Purges, "changes": Changes}


class DiscoveryRole(Role):
    """``shelfs``, ``sites``, ``ports``: the list at the start."""

    def __init__(self, reactor: Any, told: Mapping[str, Any]) -> None:
        self.reactor = reactor
        self.discovery = Discovery(reactor, listed(told["shelfs"], told["sites"], told["ports"], SHARE))

    def plan(self, kind: str, **what: Any) -> None:
        self.discovery.plan(PLANS[kind](**what))

    def down(self) -> None:
        self.discovery.down()

    def up(self) -> None:
        self.discovery.up()

    def restart(self) -> None:
        self.discovery.restart()

    def figures(self) -> dict[str, Any]:
        return self.discovery.figures() | {"port": self.discovery.port}


class ShelfRole(Role):
    """A stand-in shelf, for all lines of the list that name its port."""

    def __init__(self, reactor: Any, told: Mapping[str, Any]) -> None:
        self.port = listen_on_free_port(reactor, DemoCacheServer)

    def figures(self) -> dict[str, Any]:
        return {"port": self.port}


class LinksRole(Role):
    """``routes``: ``name``, ``target``, ``delay_ms`` of each."""

    def __init__(self, reactor: Any, told: Mapping[str, Any]) -> None:
        self.counts = Counter[str]()
        self.routes: dict[str, Route] = {}
        for line in told["routes"]:
            target = str(line["target"][0]), int(line["target"][1])
            route = self.routes[line["name"]] = Route(reactor, target, float(line["delay_ms"]), self.counts)
            route.listen()

    def hold(self, names: list[str], ways: list[str]) -> None:
        for name in names:
            self.routes[name].hold(frozenset(ways))

    def sever(self, names: list[str]) -> None:
        for name in names:
            self.routes[name].sever()

    def figures(self) -> dict[str, Any]:
        ports = {name: route.port for name, route in self.routes.items()}
        return dict(self.counts) | {"ports": ports, "open": sum(len(r.pairs) for r in self.routes.values())}


class HollowRole(Role):
    """Hollow routers; see ``Hollows``."""

    def __init__(self, reactor: Any, told: Mapping[str, Any]) -> None:
        self.hollows = Hollows(reactor, told)

    def start(self, names: list[str]) -> None:
        self.hollows.start(names)

    def end(self, names: list[str]) -> None:
        self.hollows.end(names)

    def sever(self, names: list[str]) -> None:
        self.hollows.sever(names)

    def state(self, names: list[str] | None = None) -> dict[str, Any]:
        return self.hollows.state(names)

    def missing(self, first: int, last: int) -> dict[str, Any]:
        return {"missing": self.hollows.missing(first, last)}

    def members(self, names: list[str]) -> dict[str, Any]:
        return self.hollows.members(names)

    def taken(self, kind: str, first: int, last: int) -> dict[str, Any]:
        return {"taken": self.hollows.tally.told(kind, first, last)}

    def figures(self) -> dict[str, Any]:
        return self.hollows.figures()


class LoadRole(Role):
    """``fronts``: where whole routers listen; ``rate``: requests a second to each."""

    def __init__(self, reactor: Any, told: Mapping[str, Any]) -> None:
        fronts = [(str(host), int(port)) for host, port in told["fronts"]]
        self.load = Load(reactor, fronts, float(told["rate"]))

    def rate(self, rate: float) -> None:
        self.load.rate = rate

    def clear(self) -> None:
        self.load.clear()

    def figures(self) -> dict[str, Any]:
        return self.load.figures()


ROLES: Mapping[str, Callable[[Any, Mapping[str, Any]], Role]] = {
    "discovery": DiscoveryRole,
    "shelf": ShelfRole,
    "links": LinksRole,
    "hollow": HollowRole,
    "load": LoadRole,
}


def build(name: str, reactor: Any, told: Mapping[str, Any]) -> Role:
    return ROLES[name](reactor, told)
