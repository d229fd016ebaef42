"""Protocol of the admin endpoint: one command on a connection, and a reply of one word, or also of lines."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from thornjunction.net.wire import ProtocolError

# Largest length of a command; all commands are short words.
MAX_LINE_BYTES = 128

# First word of the reply to an accepted command; the result, if any, follows.
ACK = "ACK"

# First word of the reply to a rejected command.
NAK = "NAK"

# First word of each counter's name.
COUNTER_PREFIX = "router"

# The line after the last line of a result.
END_OF_LINES = "--"


class LineReader:
    """Buffers bytes until one line is complete."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> str | None:
        """Return the line without its end, or None while it is incomplete; bytes after it are ignored.

        Raises:
            ProtocolError: ``line-size``, the line is longer than ``MAX_LINE_BYTES``.
        """
        self._buffer += data[: MAX_LINE_BYTES + 1]
        line, end, _ = self._buffer.partition(b"\n")
        if len(line) > MAX_LINE_BYTES:
            raise ProtocolError("line-size")
        return line.decode("ascii", "replace").strip() if end else None


def encode_reply(accepted: bool, reason: str = "") -> bytes:
    """Encode a reply of one line, with the reason if it is not empty."""
    word = ACK if accepted else NAK
    return f"{word} {reason}".strip().encode() + b"\n"


def encode_lines(lines: Iterable[str]) -> bytes:
    """Encode the result of an accepted command as several lines."""
    return "".join(f"{line}\n" for line in (ACK, *lines, END_OF_LINES)).encode()


def encode_counters(counters: Mapping[str, int]) -> bytes:
    """Encode counters as lines ``router.NAME=VALUE``."""
    return encode_lines(f"{COUNTER_PREFIX}.{name}={value}" for name, value in counters.items())
