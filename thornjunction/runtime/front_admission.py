"""Admission control of the platform's front: requests that it refuses before a routing decision."""

from __future__ import annotations

from collections.abc import Hashable

from thornjunction import interface as api
from thornjunction.core.counters import Counters
from thornjunction.core.engine import Engine
from thornjunction.core.load_shedding import LoadShedder
from thornjunction.core.ports import Answer, Rejected
from thornjunction.net.wire import cgi
from thornjunction.runtime.drain import Drain


class FrontAdmission:
    """Refuses requests in the later phases of a drain, and some of them while the processor is overloaded."""

    def __init__(self, drain: Drain, load_shedder: LoadShedder, engine: Engine, counters: Counters) -> None:
        self._drain = drain
        self._load_shedder = load_shedder
        self._engine = engine
        self._counters = counters
        self._refusal = b""

    def apply(self, settings: api.Settings) -> None:
        """Set the Retry-After time of refusals from the settings."""
        wait_ms = settings.max_retry_after_ms if settings.may_send_retry_after else 0.0
        self._refusal = cgi.encode_response(Rejected(wait_ms))

    def refusal(self, client: Hashable) -> bytes:
        """Return the response that refuses a client's request now; empty if the request is admitted."""
        if self._drain.is_refusing or not self._load_shedder.admits(len(self._engine.requests), client):
            return self._refusal
        return b""

    def knows_class(self, class_name: str) -> bool:
        """Return whether the settings have, or had, a class of this name."""
        return class_name in self._counters.classes

    def count_refused(self, class_name: str, answer: Answer) -> None:
        """Count a request that a front answered without the engine."""
        self._counters.request_ended(class_name, answer.outcome, 0.0)
