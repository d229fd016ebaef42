"""The actions of faults: end routers, block routes, reset connections, kill a relay."""

from __future__ import annotations

from collections.abc import Sequence

from fleet_scale.environment.processes import call_all
from fleet_scale.environment.scale_environment import ScaleEnvironment
from fleet_scale.environment.sources import route_name
from fleet_scale.messages import Acknowledged, Direction, EndRouters, ResetConnections, StartRouters


def end_routers(environment: ScaleEnvironment, routers: Sequence[str]) -> None:
    """End routers abruptly, as if they were killed."""
    environment.ended_routers |= set(routers)
    call_all(environment.hollow_workers, EndRouters(tuple(routers)), Acknowledged)


def start_routers(environment: ScaleEnvironment, routers: Sequence[str]) -> None:
    """Start routers that were ended."""
    call_all(environment.hollow_workers, StartRouters(tuple(routers)), Acknowledged)


def restart_routers(environment: ScaleEnvironment, routers: Sequence[str]) -> None:
    """Restart routers one after the other, without a pause."""
    for router in routers:
        end_routers(environment, [router])
        start_routers(environment, [router])


def reset_connections(environment: ScaleEnvironment, routers: Sequence[str]) -> None:
    """Reset the connections of all these routers at once."""
    call_all(environment.hollow_workers, ResetConnections(tuple(routers)), Acknowledged)


def routes_out_of_regions(environment: ScaleEnvironment, routers: Sequence[str]) -> list[str]:
    """Return the routes that leave the regions of these routers.

    Those are the routes from the regions' sites to sources outside, and all routes of the regions' relays.
    If routers poll discovery directly, every source counts as outside.
    """
    wanted = set(routers)
    region_by_site = {site.name: site.region for site in environment.sites if wanted & set(site.routers)}
    regions = set(region_by_site.values())
    sources = environment.source_table.sources if environment.relays else []
    relays_inside = {source.name for source in sources if source.region in regions}
    return [
        route_name(poller, source)
        for poller, source in environment.source_table.routes()
        if (poller in region_by_site and source not in relays_inside) or poller in relays_inside
    ]


def isolate_regions(environment: ScaleEnvironment, routers: Sequence[str]) -> None:
    """Block all traffic between the regions of these routers and the outside."""
    environment.block_routes(routes_out_of_regions(environment, routers), tuple(Direction))


def block_answers(environment: ScaleEnvironment, routers: Sequence[str]) -> None:
    """Block the answers to the regions of these routers, but not their polls."""
    environment.block_routes(routes_out_of_regions(environment, routers), (Direction.BACKWARD,))


def unblock_regions(environment: ScaleEnvironment, routers: Sequence[str]) -> None:
    """Unblock the routes out of the regions of these routers."""
    environment.block_routes(routes_out_of_regions(environment, routers), ())


def kill_first_relay(environment: ScaleEnvironment, routers: Sequence[str]) -> None:  # noqa: ARG001
    """Kill the first relay, so that the routers that polled it must poll another."""
    environment.kill_relay(next(iter(environment.relays)))


def start_killed_relay(environment: ScaleEnvironment, routers: Sequence[str]) -> None:  # noqa: ARG001
    """Start the relay that was killed, with an empty event log."""
    names = [source.name for source in environment.source_table.sources]
    environment.start_relay(next(name for name in names if name not in environment.relays))
