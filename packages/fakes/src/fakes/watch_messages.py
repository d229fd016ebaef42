"""Events and answers of discovery, as JSON and bytes, for scripts of a fake discovery."""

from __future__ import annotations

import json
from typing import Any

from fakes.event_log import JsonObject
from thornjunction.net.wire import http1
from thornjunction.net.wire.commands import Command, Purge

# Issue time (Unix ms) to which a purge's number is added; it is in the past.
PURGES_SINCE_UNIX_MS = 1764576000123

# The status line of every successful answer.
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\n"

# The empty chunk that ends a chunked answer.
LAST_CHUNK = b"0\r\n\r\n"

# The origin's entry in a list; nothing listens at its address.
ORIGIN_ENTRY: JsonObject = {
    "host": "o",
    "dial": "127.0.0.1:9",
    "site": "hub",
    "class": "root",
    "health": "active",
    "share": 4,
}


def encode_answer(content: object, status: int = 200) -> bytes:
    """Encode a complete answer; content that is not bytes is encoded as JSON."""
    body = content if isinstance(content, bytes) else json.dumps(content).encode()
    return http1.encode_response(http1.HttpResponse(status, {}, body, True))


def encode_chunked(body: bytes, chunk_bytes: int, last_chunk: bytes = LAST_CHUNK) -> bytes:
    """Encode an answer whose body is sent in chunks of ``chunk_bytes``."""
    parts = (body[start : start + chunk_bytes] for start in range(0, len(body), chunk_bytes))
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    return RESPONSE_HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + last_chunk


def purge_event(number: int) -> JsonObject:
    """Return the event with that number: a purge issued in the past."""
    return {"cursor": number, "drop": {"id": f"{number:016x}", "when": PURGES_SINCE_UNIX_MS + number}}


def purge_events(first: int, last: int) -> list[JsonObject]:
    """Return the purges with the numbers from ``first`` to ``last``."""
    return [purge_event(number) for number in range(first, last + 1)]


def edge_entry(name: str, **fields: Any) -> JsonObject:
    """Return the list entry of an edge cache; ``fields`` override its defaults."""
    return ORIGIN_ENTRY | {"host": name, "site": "z1", "class": "box"} | fields


def summarize_event(command: Command) -> str:
    """Return an event as text: servers with their states, or a purge's object, group and issue time."""
    if isinstance(command, Purge):
        return f"{command.key}/{command.group}/{command.issued_unix_ms}"
    return " ".join(f"{host.name}:{host.state.name}" for host in command.hosts)
