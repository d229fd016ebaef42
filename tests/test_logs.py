"""Structured logs: one JSON object per line with the event's fields, and no token from any logger."""

from __future__ import annotations

import io
import json
import logging
from collections.abc import Iterator

import pytest

from thornjunction import logs

TOKEN = "eyJhbGciOiJIUzI1NiJ9.eyJpc3MiOiJSIn0.c2ln"


@pytest.fixture
def stream() -> Iterator[io.StringIO]:
    """A stream that receives all log lines; the root logger is restored after the test."""
    root = logging.getLogger()
    handlers = root.handlers[:]
    level = root.level
    stream = io.StringIO()
    logs.log_to_stream(stream)
    yield stream
    root.handlers[:] = handlers
    root.setLevel(level)


def test_a_line_is_json_with_its_fields_and_without_tokens(stream: io.StringIO) -> None:
    logger = logs.get_logger("thornjunction.t")
    logger.info("request_rejected", status=401, code="token-forged", seen=f"/a?p={TOKEN}")
    line = json.loads(stream.getvalue())
    assert line["event"] == "request_rejected"
    assert line["status"] == 401
    assert line["code"] == "token-forged"
    assert line["level"] == "info"
    assert line["seen"] == "/a?p=[token]"
    assert TOKEN not in stream.getvalue()


def test_lines_of_other_loggers_have_the_same_form(stream: io.StringIO) -> None:
    logging.getLogger("twisted").warning("plain %s", TOKEN)
    line = json.loads(stream.getvalue())
    assert line["event"] == "plain [token]"
    assert "pid" in line
    assert TOKEN not in stream.getvalue()
