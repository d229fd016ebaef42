"""The interface of Twisted's reactor that a process uses, beyond connections, ports and timers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from thornjunction.net.event_loop.ports import ListeningPort, Reactor


class ProcessReactor(Reactor, Protocol):
    """The reactor of a process, from its start to its stop."""

    def run(self, *, installSignalHandlers: bool) -> None:  # noqa: N803
        """Run the event loop until it is stopped."""

    def stop(self) -> None:
        """Stop the event loop."""

    def callWhenRunning(self, callback: Callable[[], object]) -> object:  # noqa: N802
        """Call ``callback`` once the event loop is running."""

    def callFromThread(self, callback: Callable[[], object]) -> object:  # noqa: N802
        """Call ``callback`` in the event loop; may be used in a signal handler or another thread."""

    def listenSSL(self, port: int, *arguments: Any) -> ListeningPort:  # noqa: N802
        """Accept TLS connections on a port."""
