"""One log line for each connection that has ended."""

from __future__ import annotations

import logging
from typing import Any

from twisted.internet.error import ConnectionAborted, ConnectionDone
from twisted.python.failure import Failure

log = logging.getLogger("thornjunction.connection")


def log_end(kind: str, number: int | None, code: str, **facts: Any) -> None:
    """``code`` is a short word; facts must hold no secrets and no client's text."""
    told = "".join(f" {name}={value}" for name, value in facts.items())
    log.info("end kind=%s slot=%s code=%s%s", kind, number, code, told)


def code_of(reason: Failure | None) -> str:
    """The code for Twisted's reason."""
    if reason is None or isinstance(reason.value, ConnectionDone):
        return "closed-by-peer"
    if isinstance(reason.value, ConnectionAborted):
        return "aborted"
    return "reset"
