"""Protocol of the admin endpoint: one command on a connection, and a word, perhaps with lines, in reply."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from thornjunction.net.wire import ProtocolError

# Length of a command: they are short words.
MAX_LINE_BYTES = 128

# The command is accepted, or its result follows.
ACK = "ACK"

# The command is rejected.
NAK = "NAK"

# First word of each counter's name.
COUNTER_PREFIX = "router"

# The line after the last line of a result.
END_OF_LINES = "--"


class LineReader:
    """Collects bytes until one line is complete."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> str | None:
        """Return the line without its end, or None while it is incomplete; what follows it is ignored.

        Raises:
            ProtocolError: ``line-size``, the line is longer than ``MAX_LINE_BYTES``.
        """
        self._buffer += data[: MAX_LINE_BYTES + 1]
        line, end, _ = self._buffer.partition(b"\n")
        if len(line) > MAX_LINE_BYTES:
            raise ProtocolError("line-size")
        return line.decode("ascii", "replace").strip() if end else None


def encode_reply(accepted: bool, reason: str = "") -> bytes:
    """Encode a reply of one line, with a reason where there is one."""
    word = ACK if accepted else NAK
    return f"{word} {reason}".strip().encode() + b"\n"


def encode_lines(lines: Iterable[str]) -> bytes:
    """Encode an accepted command's result of several lines."""
    return "".join(f"{line}\n" for line in (ACK, *lines, END_OF_LINES)).encode()


def encode_counters(counters: Mapping[str, int]) -> bytes:
    """Encode counters as lines ``router.NAME=VALUE``."""
    return encode_lines(f"{COUNTER_PREFIX}.{name}={value}" for name, value in counters.items())
