"""Admission control of the platform's front: requests that it refuses before a routing decision."""

from __future__ import annotations

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

    def refusal(self) -> bytes:
        """Return the response that refuses a request now; empty if the request is admitted."""
        is_admitted = not self._drain.is_refusing and self._load_shedder.admits(len(self._engine.requests))
        return b"" if is_admitted else self._refusal

    def count_refused(self, class_name: str, answer: Answer) -> None:
        """Count a request that a front answered without the engine."""
        self._counters.request_ended(class_name, answer.outcome, 0.0)
