"""Typed interfaces of the parts of Twisted in use, as a type checker can't read its zope interfaces."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.defer import Deferred


class DelayedCall(Protocol):
    """A call that the reactor makes after a delay."""

    def active(self) -> bool:
        """Whether the call has been neither made nor cancelled."""

    def cancel(self) -> None:
        """Cancel the call."""


class BoundAddress(Protocol):
    """The address that a port is bound to."""

    host: str
    port: int


class ListeningPort(Protocol):
    """A port on which the reactor accepts connections or receives datagrams."""

    def getHost(self) -> BoundAddress:  # noqa: N802
        """Return the address that the port is bound to."""

    def stopListening(self) -> Any:  # noqa: N802
        """Close the port."""


class ServerEndpoint(Protocol):
    """An address at which connections can be accepted."""

    def listen(self, factory: Any) -> Deferred[Any]:
        """Start to accept connections; the result is the port."""


class Reactor(Protocol):
    """The methods of Twisted's reactor that the endpoints use."""

    def callLater(self, _delay_s: float, _call: Callable[..., object], /, *arguments: object) -> DelayedCall:  # noqa: N802
        """Make a call after a delay."""

    def connectTCP(self, host: str, port: int, factory: Any, **options: Any) -> Any:  # noqa: N802
        """Connect to an address; the factory builds the protocol of the connection."""

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:  # noqa: N802
        """Accept connections on a port; the factory builds the protocol of each."""

    def listenUDP(self, port: int, protocol: Any, interface: str = "") -> Any:  # noqa: N802
        """Receive datagrams on a port."""


class Transport(Protocol):
    """The operations of a protocol on its connection."""

    # Bytes that wait to be written; empty after ``doWrite`` if the system has accepted all of them.
    dataBuffer: bytes  # noqa: N815

    # How many of the first bytes of ``dataBuffer`` the system has accepted.
    offset: int

    # Number of bytes that wait behind those of ``dataBuffer``.
    _tempDataLen: int  # noqa: N815

    def write(self, data: bytes) -> None:
        """Send bytes, or buffer them until the system accepts them."""

    def getHandle(self) -> object:  # noqa: N802
        """Return the socket."""

    def doWrite(self) -> object:  # noqa: N802
        """Pass the buffered bytes to the system now."""

    def loseConnection(self) -> None:  # noqa: N802
        """Close the connection once the buffered bytes have been sent."""

    def loseWriteConnection(self) -> None:  # noqa: N802
        """Shut down the sending side once the buffered bytes have been sent."""

    def abortConnection(self) -> None:  # noqa: N802
        """Close the connection at once and drop the buffered bytes."""

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading until ``resumeProducing`` is called."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume reading."""

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Set ``TCP_NODELAY``: whether small writes are sent at once."""

    def registerProducer(self, producer: object, streaming: bool) -> None:  # noqa: N802
        """Notify a producer when bytes are buffered (if ``streaming``) and when they have been sent."""

    def unregisterProducer(self) -> None:  # noqa: N802
        """Stop notifying the producer."""
