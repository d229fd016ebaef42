"""What faults do to an environment: end routers, block routes, reset connections, kill a relay."""

from __future__ import annotations

from collections.abc import Sequence

from fleet_scale.environment.processes import ask_all
from fleet_scale.environment.scale_environment import ScaleEnvironment
from fleet_scale.environment.sources import route_name
from fleet_scale.messages import Acknowledged, Direction, EndRouters, ResetConnections, StartRouters


def end_routers(environment: ScaleEnvironment, routers: Sequence[str]) -> None:
    """End routers as if they were killed."""
    environment.ended_routers |= set(routers)
    ask_all(environment.hollow_workers, EndRouters(tuple(routers)), Acknowledged)


def start_routers(environment: ScaleEnvironment, routers: Sequence[str]) -> None:
    """Start routers that were ended."""
    ask_all(environment.hollow_workers, StartRouters(tuple(routers)), Acknowledged)


def restart_routers(environment: ScaleEnvironment, routers: Sequence[str]) -> None:
    """Restart one router after the other, as fast as they start."""
    for router in routers:
        end_routers(environment, [router])
        start_routers(environment, [router])


def reset_connections(environment: ScaleEnvironment, routers: Sequence[str]) -> None:
    """Reset the connections of routers at one moment."""
    ask_all(environment.hollow_workers, ResetConnections(tuple(routers)), Acknowledged)


def routes_out_of_regions(environment: ScaleEnvironment, routers: Sequence[str]) -> list[str]:
    """Return the routes that leave the regions of these routers.

    Those are the routes of the regions' sites to sources elsewhere, and all routes of the relays there.  If
    routers poll discovery itself, every source counts as elsewhere.
    """
    wanted = set(routers)
    region_by_site = {site.name: site.region for site in environment.sites if wanted & set(site.routers)}
    regions = set(region_by_site.values())
    sources = environment.source_table.sources if environment.relays else []
    relays_inside = {source.name for source in sources if source.region in regions}
    return [
        route_name(place, source)
        for place, source in environment.source_table.routes()
        if (place in region_by_site and source not in relays_inside) or place in relays_inside
    ]


def isolate_regions(environment: ScaleEnvironment, routers: Sequence[str]) -> None:
    """Block all that passes between the regions of these routers and elsewhere."""
    environment.block_routes(routes_out_of_regions(environment, routers), tuple(Direction))


def block_answers(environment: ScaleEnvironment, routers: Sequence[str]) -> None:
    """Block the answers to the regions of these routers; their polls go out."""
    environment.block_routes(routes_out_of_regions(environment, routers), (Direction.BACKWARD,))


def unblock_regions(environment: ScaleEnvironment, routers: Sequence[str]) -> None:
    """Unblock the routes out of the regions of these routers."""
    environment.block_routes(routes_out_of_regions(environment, routers), ())


def kill_first_relay(environment: ScaleEnvironment, routers: Sequence[str]) -> None:  # noqa: ARG001
    """Kill the first relay; the routers that polled it poll another."""
    environment.kill_relay(next(iter(environment.relays)))


def start_killed_relay(environment: ScaleEnvironment, routers: Sequence[str]) -> None:  # noqa: ARG001
    """Start the relay that was killed; it knows no events."""
    names = [source.name for source in environment.source_table.sources]
    environment.start_relay(next(name for name in names if name not in environment.relays))
