"""Opens and holds the listening ports of the process."""

from __future__ import annotations

import os
from collections.abc import Callable

from twisted.internet import protocol

from thornjunction.log_events import LogEvent
from thornjunction.logs import get_logger
from thornjunction.net.event_loop.listening_port import listen_on_descriptor
from thornjunction.net.event_loop.ports import ListeningPort
from thornjunction.net.event_loop.transport import BuildFactory, server_endpoint
from thornjunction.runtime.process_reactor import ProcessReactor

log = get_logger(__name__)

BuildProtocol = Callable[[], protocol.Protocol]


class Listeners:
    """Opens listening ports.

    Args:
        reactor: the event loop.
        on_failure: is called after the failure to open a port was logged.

    Attributes:
        ports: the open ports.
    """

    def __init__(self, reactor: ProcessReactor, on_failure: Callable[[], None]) -> None:
        self.ports: list[ListeningPort] = []
        self._reactor = reactor
        self._on_failure = on_failure

    def listen(self, host: str, port: int, build: BuildProtocol) -> None:
        """Open a TCP port whose connections use the protocols that ``build`` returns."""
        opening = server_endpoint(self._reactor, (host, port)).listen(BuildFactory(build))
        opening.addCallbacks(self.ports.append, lambda failure: self._handle_failure(failure.value))

    def adopt(self, descriptor: int, build: BuildProtocol) -> None:
        """Accept connections on a listening socket that the platform opened; other processes may share it."""
        try:
            # A blocking accept() would stall the process if no connection is pending.
            os.set_blocking(descriptor, False)
            self.ports.append(listen_on_descriptor(self._reactor, descriptor, BuildFactory(build)))
            os.close(descriptor)  # the port uses its own duplicate of the descriptor
        except OSError as error:
            self._handle_failure(error)

    def _handle_failure(self, error: object) -> None:
        log.error(LogEvent.LISTEN_FAILED, cause=str(error))
        self._on_failure()
