"""Structured logs: one JSON object a line, fields kept, and no token written whoever logs it."""

from __future__ import annotations

import io
import json
import logging

from thornjunction import logs


def test_lines_are_json_with_fields_and_tokens_are_never_written() -> None:
    stream, root = io.StringIO(), logging.getLogger()
    kept = root.handlers[:], root.level
    try:
        logs.to_stream(stream)
        token = "eyJhbGciOiJIUzI1NiJ9.eyJpc3MiOiJSIn0.c2ln"
        logs.get_logger("thornjunction.t").info(
            "request_rejected", status=401, code="token-forged", seen=f"/a?p={token}"
        )
        logging.getLogger("twisted").warning("plain %s", token)
    finally:
        root.handlers[:], _ = kept[0], root.setLevel(kept[1])
    first, second = (json.loads(line) for line in stream.getvalue().splitlines())
    told = [first[name] for name in ("event", "status", "code", "level", "seen")]
    assert told == ["request_rejected", 401, "token-forged", "info", "/a?p=[token]"]
    assert second["event"] == "plain [token]" and "pid" in second and token not in stream.getvalue()
