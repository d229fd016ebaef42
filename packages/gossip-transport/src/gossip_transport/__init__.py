"""A fleet machine on one UDP socket."""

from gossip_transport.endpoint import AGAIN_MS, LOOKED, MAX_DATAGRAM, TURN, FleetPort

__all__ = ["AGAIN_MS", "LOOKED", "MAX_DATAGRAM", "TURN", "FleetPort"]
