"""Applies settings to the parts outside the routing decisions: the engine, the fronts and the counters."""

from __future__ import annotations

from thornjunction import interface as api
from thornjunction.core.counters import Counters
from thornjunction.core.engine import Engine
from thornjunction.runtime.front_admission import FrontAdmission


class SettingsInForce:
    """Applies settings; open requests keep the settings that were in force when they arrived.

    Args:
        engine: receives the limit on attempts, and the size in KB of one byte of an answer.
        admission: receives the Retry-After time of refusals.
        counters: receives the names of the request classes by which it counts.
        flow_bytes_per_ms: rate of one transfer; 0 if it is not known.

    Attributes:
        classes: request classes by name; the same mapping object for the life of the process.
    """

    def __init__(
        self, engine: Engine, admission: FrontAdmission, counters: Counters, flow_bytes_per_ms: float
    ) -> None:
        self.classes: dict[str, api.RequestClass] = {}
        self._engine = engine
        self._admission = admission
        self._counters = counters
        self._flow_bytes_per_ms = flow_bytes_per_ms

    def apply(self, settings: api.Settings) -> None:
        """Put these settings in force, in place of the previous ones."""
        self._engine.max_attempts = settings.max_attempts
        self._engine.kb_per_byte = self._kb_per_byte(settings)
        self.classes.clear()  # changed in place, because the signed front holds this mapping
        self.classes |= {request_class.name: request_class for request_class in settings.classes}
        self._counters.classes |= self.classes.keys()
        self._admission.apply(settings)

    def _kb_per_byte(self, settings: api.Settings) -> float:
        if self._flow_bytes_per_ms <= 0:
            return 0.0
        return settings.transfer_rate_kb_per_ms / self._flow_bytes_per_ms
