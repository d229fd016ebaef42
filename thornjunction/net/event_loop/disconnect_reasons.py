"""One log line for each connection that has ended."""

from __future__ import annotations

from typing import Any

from twisted.internet.error import ConnectionAborted, ConnectionDone
from twisted.python.failure import Failure

from thornjunction.logs import get_logger

log = get_logger("thornjunction.connection")


def log_disconnect(kind: str, number: int | None, code: str, **facts: Any) -> None:
    """``code`` is a short word; facts must hold no secrets and no client's text."""
    log.info("end", kind=kind, slot=number, code=code, **facts)


def disconnect_reason(reason: Failure | None) -> str:
    """The code for Twisted's reason."""
    if reason is None or isinstance(reason.value, ConnectionDone):
        return "closed-by-peer"
    if isinstance(reason.value, ConnectionAborted):
        return "aborted"
    return "reset"
