"""The process's listening ports."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

from twisted.internet import protocol

from thornjunction.logs import get_logger
from thornjunction.net.event_loop.listening_port import adopt
from thornjunction.net.event_loop.transport import BuildFactory, server_endpoint

log = get_logger(__name__)

BuildProtocol = Callable[[], protocol.Protocol]


class Listeners:
    """Opens ports and keeps those that are open, in ``ports``.

    A port that can't be opened is logged and reported to ``on_failure``.
    """

    def __init__(self, reactor: Any, on_failure: Callable[[], None]) -> None:
        self.ports: list[Any] = []
        self._reactor = reactor
        self._on_failure = on_failure

    def listen(self, host: str, port: int, build: BuildProtocol) -> None:
        """Open a port."""
        opening = server_endpoint(self._reactor, (host, port)).listen(BuildFactory(build))
        opening.addCallbacks(self.ports.append, lambda failure: self._fail(failure.value))

    def adopt(self, descriptor: int, build: BuildProtocol) -> None:
        """Accept on the platform's own listening socket, which other processes hold too."""
        try:
            # A blocking accept behind the last connection would stop the process.
            os.set_blocking(descriptor, False)
            self.ports.append(adopt(self._reactor, descriptor, BuildFactory(build)))
            os.close(descriptor)  # the port has a duplicate of its own
        except OSError as error:
            self._fail(error)

    def _fail(self, error: object) -> None:
        log.error("cannot-listen", reason=str(error))
        self._on_failure()
