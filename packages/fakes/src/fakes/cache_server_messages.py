"""The server side of the cache servers' protocol: decodes commands and encodes answers.

All fake cache servers use this module, whatever their event loop.
"""

from __future__ import annotations

from dataclasses import dataclass

from thornjunction.net.wire.resp import ArrayReader, encode_array

# The command that requests an object.
WANT = "want"

# The status of an answer that has an object.
DONE = b"DONE"

# The fields of an answer without information about its object.
NO_FIELDS = b"-"


@dataclass(frozen=True, slots=True)
class CacheServerCommand:
    """One command of a router.

    Attributes:
        verb: the name of the command, such as ``want`` or ``never_mind``.
        request_id: the number that identifies the request; the answer repeats it.
        arguments: the elements after the number; the first one of a ``want`` describes the request.
    """

    verb: str
    request_id: bytes
    arguments: tuple[bytes, ...]

    @property
    def is_request(self) -> bool:
        """Whether the command requests an object and needs an answer."""
        return self.verb == WANT


class CommandReader:
    """Decodes the bytes of one connection into commands."""

    def __init__(self) -> None:
        self._arrays = ArrayReader()

    def feed(self, data: bytes) -> list[CacheServerCommand]:
        """Return the commands that are complete now.

        Raises:
            ProtocolError: the bytes are not a command.
        """
        return [
            CacheServerCommand(verb.decode(), request_id, tuple(arguments))
            for verb, request_id, *arguments in self._arrays.feed(data)
        ]


def encode_server_answer(
    request_id: bytes, status: bytes, fields: bytes = NO_FIELDS, body: bytes = b""
) -> bytes:
    """Encode the answer to one command."""
    return encode_array((request_id, status, fields, body))
