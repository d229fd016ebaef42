"""The parts of a router that the operators' file enables."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from thornjunction.runtime.listeners import Listeners
from thornjunction.runtime.process_reactor import ProcessReactor

if TYPE_CHECKING:  # each part is imported at run time only if it is on
    from thornjunction.net.telemetry.metrics_exporter import MetricsExporter
    from thornjunction.runtime.fleet import FleetMember
    from thornjunction.runtime.signed_front import SignedFront


@dataclass(frozen=True, slots=True)
class OptionalParts:
    """The optional parts; a part that is off is None.

    Attributes:
        signed_front: the signed-URL front.
        metrics: the metrics exporter.
        fleet: the fleet membership.
    """

    signed_front: SignedFront | None = None
    metrics: MetricsExporter | None = None
    fleet: FleetMember | None = None

    def start(self, reactor: ProcessReactor, listeners: Listeners) -> None:
        """Start all parts and open their ports; the ports in ``listeners`` are closed at the shutdown."""
        if self.signed_front is not None:
            listeners.ports += self.signed_front.listen(reactor, listeners.listen)
        if self.metrics is not None:
            self.metrics.start()
        if self.fleet is not None:
            self.fleet.listen(reactor)

    def reload(self) -> None:
        """Reload the key set and TLS files of the signed front."""
        if self.signed_front is not None:
            self.signed_front.reload()

    def leave_fleet(self) -> None:
        """Leave the fleet, which frees its port for a successor."""
        if self.fleet is not None:
            self.fleet.leave()

    def admin_calls(self) -> dict[str, Callable[[], bytes]]:
        """Return the calls that these parts add to the admin endpoint."""
        return {} if self.fleet is None else {"fleet": self.fleet.view}
