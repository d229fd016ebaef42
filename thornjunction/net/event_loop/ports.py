"""Typed interfaces of what the endpoints use of Twisted: its zope interfaces tell a type checker nothing."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol


class DelayedCall(Protocol):
    """A call that the reactor makes later."""

    def active(self) -> bool:
        """Whether the call is neither made nor cancelled yet."""

    def cancel(self) -> None:
        """Take the call back."""


class ListeningPort(Protocol):
    """A port on which the reactor accepts connections or receives datagrams."""

    def getHost(self) -> Any:  # noqa: N802
        """The address that the port is bound to, with ``host`` and ``port``."""

    def stopListening(self) -> Any:  # noqa: N802
        """Close the port."""


class Reactor(Protocol):
    """What the endpoints ask of Twisted's reactor."""

    def callLater(self, delay: float, callable: Callable[..., object], *args: object) -> DelayedCall:  # noqa: A002, N802
        """Make a call after so many seconds."""

    def connectTCP(self, host: str, port: int, factory: Any, **more: Any) -> Any:  # noqa: N802
        """Connect to an address and build a protocol for the connection by the factory."""

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:  # noqa: N802
        """Accept connections on a port and build a protocol for each by the factory."""

    def listenUDP(self, port: int, protocol: Any, interface: str = "") -> Any:  # noqa: N802
        """Receive datagrams on a port."""


class Transport(Protocol):
    """What a protocol may do with its connection."""

    dataBuffer: bytes  # noqa: N815 - after ``doWrite``: empty where the system took all that was written

    def write(self, data: bytes) -> None:
        """Send bytes, or keep them until the system takes them."""

    def getHandle(self) -> object:  # noqa: N802
        """The socket below."""

    def doWrite(self) -> object:  # noqa: N802
        """Hand what is kept to the system now."""

    def loseConnection(self) -> None:  # noqa: N802
        """Close the connection once all bytes have been sent."""

    def loseWriteConnection(self) -> None:  # noqa: N802
        """Shut the sending side once all bytes have been sent."""

    def abortConnection(self) -> None:  # noqa: N802
        """Cut the connection off."""

    def pauseProducing(self) -> None:  # noqa: N802
        """Read no further bytes for now."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Read on."""

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Whether small writes go out at once."""

    def registerProducer(self, producer: object, streaming: bool) -> None:  # noqa: N802
        """Notify a producer when bytes are kept and when they have been sent."""

    def unregisterProducer(self) -> None:  # noqa: N802
        """Notify the producer no longer."""
