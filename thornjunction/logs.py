"""Structured logging with structlog: one JSON object per line on standard error.

Each line has the time (UTC), level, logger, process id, event name and the fields of the event.  Records of
the standard library's loggers, including the reactor's, have the same form.  A text that looks like a signed
JWT is replaced by ``[token]`` in the records of every logger, so that no token is written to the log.
"""

from __future__ import annotations

import logging
import os
import re
import sys
from collections.abc import MutableMapping
from typing import IO, Any

import structlog

# The first characters of every JWT: base64url of ``{"``.
JWT_PREFIX = "eyJ"

# A JWT in compact serialization (RFC 7519 §3).
JWT = re.compile(JWT_PREFIX + r"[0-9A-Za-z_-]{4,}\.[0-9A-Za-z_-]+\.[0-9A-Za-z_-]*")

# Text that replaces a JWT.
REDACTED = "[token]"

EventDict = MutableMapping[str, Any]


def _add_process_id(_logger: Any, _method: str, event: EventDict) -> EventDict:
    """Add the field ``pid``: during a handover two processes may write to the same log."""
    event["pid"] = os.getpid()
    return event


def _redact_tokens(_logger: Any, _method: str, event: EventDict) -> EventDict:
    """Replace the tokens in all text values of an event."""
    for name, value in event.items():
        if isinstance(value, str) and JWT_PREFIX in value:
            event[name] = JWT.sub(REDACTED, value)
    return event


# Processors of every record, in the order of their calls.  Redaction is last, so that it sees all text.
PROCESSORS: list[Any] = [
    structlog.stdlib.add_log_level,
    structlog.stdlib.add_logger_name,
    structlog.processors.TimeStamper(fmt="iso", utc=True, key="ts"),
    _add_process_id,
    structlog.stdlib.PositionalArgumentsFormatter(),
    structlog.processors.format_exc_info,
    _redact_tokens,
]

# Processors of the standard library's log records, in which ``extra`` holds the fields of the event.
FOREIGN_PROCESSORS: list[Any] = [structlog.stdlib.ExtraAdder(), *PROCESSORS]

structlog.configure(
    processors=[
        structlog.stdlib.filter_by_level,
        *PROCESSORS,
        structlog.stdlib.ProcessorFormatter.wrap_for_formatter,
    ],
    logger_factory=structlog.stdlib.LoggerFactory(),
    wrapper_class=structlog.stdlib.BoundLogger,
    cache_logger_on_first_use=True,
)


def get_logger(name: str) -> Any:
    """Return a logger whose methods take an event and its fields: ``log.info(LogEvent.DRAIN_STARTED)``."""
    return structlog.stdlib.get_logger(name)


def log_to_stream(stream: IO[str] = sys.stderr, level: int = logging.INFO) -> None:
    """Write each log record of the process that has at least this level to a stream, as a JSON line."""
    renderer = structlog.processors.JSONRenderer(sort_keys=False)
    formatter = structlog.stdlib.ProcessorFormatter(processor=renderer, foreign_pre_chain=FOREIGN_PROCESSORS)
    handler = logging.StreamHandler(stream)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
