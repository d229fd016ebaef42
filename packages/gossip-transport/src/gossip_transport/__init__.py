"""Drives a sans-I/O state machine of the fleet from one UDP socket on Twisted."""

from gossip_transport.endpoint import (
    MAX_HANDLED_PER_TURN,
    MAX_READ_PER_TURN,
    TIMER_RETRY_MS,
    DatagramEndpoint,
    EndpointCounters,
)

__all__ = [
    "MAX_HANDLED_PER_TURN",
    "MAX_READ_PER_TURN",
    "TIMER_RETRY_MS",
    "DatagramEndpoint",
    "EndpointCounters",
]
