"""Encoders of responses and of simple GET requests."""

from __future__ import annotations

from thornjunction.net.wire.http1.messages import REASONS, HttpResponse

# Status of a response that has neither a body nor a length (RFC 9110 §15.4.5).
NOT_MODIFIED = 304


def encode_response(response: HttpResponse) -> bytes:
    """Encode a response with its length; a response with status ``NOT_MODIFIED`` gets no length."""
    lines = [f"HTTP/1.1 {response.status} {REASONS.get(response.status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    if response.status != NOT_MODIFIED:
        lines.append(f"Content-Length: {len(response.body)}")
    if not response.keep_alive:
        lines.append("Connection: close")
    head = "\r\n".join([*lines, "", ""]).encode("latin-1")
    return head if response.omits_body else head + response.body


def encode_get(target: str, host: str) -> bytes:
    """Encode a GET request with the header ``Host`` only."""
    return f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode("latin-1")
