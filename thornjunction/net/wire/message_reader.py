"""The error handling that readers of message streams share."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Generic, TypeVar

from thornjunction.net.wire import ProtocolError

MessageT = TypeVar("MessageT")


class MessageReader(ABC, Generic[MessageT]):
    """Splits a byte stream into messages; an error is raised after the messages that precede it."""

    def __init__(self) -> None:
        self._deferred_error: ProtocolError | None = None  # follows the messages that were returned last

    def feed(self, data: bytes) -> list[MessageT]:
        """Return all messages that are complete now.

        Raises:
            ProtocolError: the protocol was violated.  Messages that precede the violation are returned
                first, and the next call raises it, so that none of them is lost.
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
            ProtocolError: the protocol was violated behind the messages that were appended.
        """
