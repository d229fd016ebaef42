"""A fleet machine on one UDP socket."""

from fleet_net.port import LOOKED, MAX_DATAGRAM, TURN, FleetPort

__all__ = ["LOOKED", "MAX_DATAGRAM", "TURN", "FleetPort"]
