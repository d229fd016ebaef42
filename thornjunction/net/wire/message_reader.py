"""Base class of the readers of message streams, with their error handling."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Generic, TypeVar

from thornjunction.net.wire import ProtocolError

MessageT = TypeVar("MessageT")


class MessageReader(ABC, Generic[MessageT]):
    """Splits a byte stream into messages; an error is raised after the preceding messages were returned."""

    def __init__(self) -> None:
        self._deferred_error: ProtocolError | None = None  # to be raised by the next call

    def feed(self, data: bytes) -> list[MessageT]:
        """Return all messages that are complete with these bytes.

        Raises:
            ProtocolError: the protocol was violated.  If messages precede the violation, they are returned
                first, and the next call raises the error.
        """
        if self._deferred_error is not None:
            raise self._deferred_error
        messages: list[MessageT] = []
        try:
            self._read_messages(data, messages)
        except ProtocolError as error:
            if not messages:
                raise
            self._deferred_error = error
        return messages

    @abstractmethod
    def _read_messages(self, data: bytes, messages: list[MessageT]) -> None:
        """Append each message that is complete with this data.

        Raises:
            ProtocolError: the protocol was violated after the appended messages.
        """
