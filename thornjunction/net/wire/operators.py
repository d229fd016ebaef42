"""The operators' line: one call on a connection, a word and perhaps figures in reply."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from thornjunction.net.wire import ProtocolError

MAX_LINE = 128  # bytes; the calls are short words
YES, NO, PREFIX, END = "ACK", "NAK", "router", "--"


class LineReader:
    """Takes bytes until one line has come whole."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> str | None:
        """The line; None while it has come in part.  What stands behind it is not read."""
        self._buffer += data[: MAX_LINE + 1]
        line, end, _ = self._buffer.partition(b"\n")
        if len(line) > MAX_LINE:
            raise ProtocolError("line-size")
        return line.decode("ascii", "replace").strip() if end else None


def encode_word(yes: bool, why: str = "") -> bytes:
    return f"{YES if yes else NO} {why}".strip().encode() + b"\n"


def encode_lines(lines: Iterable[str]) -> bytes:
    """A yes, the lines, and the line that ends them."""
    return "".join(f"{line}\n" for line in (YES, *lines, END)).encode()


def encode_figures(figures: Mapping[str, int]) -> bytes:
    """The figures, one a line."""
    return encode_lines(f"{PREFIX}.{name}={value}" for name, value in figures.items())
