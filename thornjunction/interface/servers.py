"""Data about one server: its entry in the endpoint list, its load report, an attempt that it may have run."""

from __future__ import annotations

from dataclasses import dataclass

from thornjunction.interface.enums import Role, ServerState


@dataclass(frozen=True, slots=True)
class LoadReport:
    """A server's load report; a value that was not reported is None.

    Attributes:
        cpu_utilization: share of the server's cores in use, 0 to 1.
        hit_ratio: share of recent requests that were cache hits, 0 to 1.
        link_utilization: for an edge cache server, the utilization of its zone's inbound link: transfers in
            progress divided by the number that fits at full rate.
    """

    cpu_utilization: float | None = None
    hit_ratio: float | None = None
    link_utilization: float | None = None


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One entry of the endpoint list.

    Attributes:
        server: the server's name, an opaque identifier.
        role: the kind of server.
        zone: the zone in which it is located.
        state: whether it may get new attempts.
        weight: with ``Settings.servers_weighted``, its capacity relative to other servers, without a unit;
            often the number of concurrent transfers.
        cell: number of its cell, whose servers share deduplication (``DeduplicationScope.CELL``).
        started_ms: time of its last start on the caller's clock; 0: long ago.
    """

    server: str
    role: Role
    zone: str
    state: ServerState = ServerState.SERVING
    weight: float = 1.0
    cell: int = 0
    started_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class PossibleExecution:
    """The time and place of an attempt that may have executed a request.

    It has no reference to the request, which takes about 1 KB and would be kept as long as the key.

    Attributes:
        sent_at_ms: when the attempt was sent.
        zone: the zone of its server.
        cell: the number of its server's cell.
    """

    sent_at_ms: float
    zone: str
    cell: int
