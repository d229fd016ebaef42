"""Structured logging on structlog: one JSON object a line on standard error.

A line has the time (UTC), level, logger, process id, an event and its fields, reason codes among them.
Records of the standard library's loggers, the reactor's too, take the same form.  A value that looks like a
signed JWT is never written: it is replaced by ``[token]``, whoever logs it.
"""

from __future__ import annotations

import logging
import os
import re
import sys
from collections.abc import MutableMapping
from typing import IO, Any

import structlog

# How each JWT begins: base64url of ``{"``.
JWT_MARK = "eyJ"

# A JWT in compact serialization (RFC 7519 §3).
JWT = re.compile(JWT_MARK + r"[0-9A-Za-z_-]{4,}\.[0-9A-Za-z_-]+\.[0-9A-Za-z_-]*")

# What is written in place of a JWT.
REDACTED = "[token]"

EventDict = MutableMapping[str, Any]


def _add_process_id(_logger: Any, _method: str, event: EventDict) -> EventDict:
    """Processor that adds ``pid``: two processes may write to one log during a handover."""
    event["pid"] = os.getpid()
    return event


def _redact_tokens(_logger: Any, _method: str, event: EventDict) -> EventDict:
    """Processor that replaces tokens in all text values."""
    for name, value in event.items():
        if isinstance(value, str) and JWT_MARK in value:
            event[name] = JWT.sub(REDACTED, value)
    return event


# Processors of every record, in their order; redaction comes last, so that it sees all text.
PROCESSORS: list[Any] = [
    structlog.stdlib.add_log_level,
    structlog.stdlib.add_logger_name,
    structlog.processors.TimeStamper(fmt="iso", utc=True, key="ts"),
    _add_process_id,
    structlog.stdlib.PositionalArgumentsFormatter(),
    structlog.processors.format_exc_info,
    _redact_tokens,
]

# Processors of records of the standard library's loggers; their ``extra`` holds an event's fields.
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
    """Return a logger whose calls take an event and its fields: ``log.info(LogEvent.DRAIN_STARTED)``."""
    return structlog.stdlib.get_logger(name)


def log_to_stream(stream: IO[str] = sys.stderr, level: int = logging.INFO) -> None:
    """Write every record of the process, from a level on, to a stream as JSON lines."""
    renderer = structlog.processors.JSONRenderer(sort_keys=False)
    formatter = structlog.stdlib.ProcessorFormatter(processor=renderer, foreign_pre_chain=FOREIGN_PROCESSORS)
    handler = logging.StreamHandler(stream)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
