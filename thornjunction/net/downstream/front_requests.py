"""The methods of a client connection that each front implements, because each reads requests differently."""

from __future__ import annotations

from twisted.internet import protocol


class FrontRequests(protocol.Protocol):
    """The requests on one client connection, as its front keeps them."""

    def has_open_request(self) -> bool:
        """Whether a request on this connection has no response yet."""
        raise NotImplementedError

    def partial_request_bytes(self) -> int:
        """Return the number of buffered bytes of partly received requests."""
        raise NotImplementedError

    def open_request_bytes(self) -> int:
        """Return the number of bytes that the open requests occupy until they are answered."""
        raise NotImplementedError

    def abandon_requests(self) -> None:
        """Discard all requests and abandon those in the core: no response can be sent any more."""
        raise NotImplementedError

    def answer_open_requests(self) -> None:
        """Answer all open requests now: those in the core as failed, the others as rejected."""
        raise NotImplementedError

    def drop_partial_request(self) -> None:
        """Discard the bytes of partly received requests."""
        raise NotImplementedError
