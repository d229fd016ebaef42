"""The platform's front of a router: its FastCGI port, which a successor process may share."""

from __future__ import annotations

from collections.abc import Callable

from thornjunction.net.downstream.fastcgi_front import FastCgiConnection, FastCgiRequestContext
from thornjunction.net.event_loop.timer_service import core_ms
from thornjunction.runtime.config import Config
from thornjunction.runtime.front_admission import FrontAdmission
from thornjunction.runtime.handover import Handover
from thornjunction.runtime.listeners import Listeners
from thornjunction.runtime.request_path import RequestPath


class PlatformFront:
    """Accepts the connections of the platform's web servers.

    Args:
        config: gives the address to listen on, or the descriptor of a listening socket.
        path: the parts that each request passes through.
        admission: refuses requests before a routing decision.
        is_ready: returns whether the platform may send clients to this router.
    """

    def __init__(
        self, config: Config, path: RequestPath, admission: FrontAdmission, is_ready: Callable[[], bool]
    ) -> None:
        self._config = config
        self._clients = path.clients
        self._deadlines = path.timer_service.deadlines
        self._context = FastCgiRequestContext(
            core=path.engine,
            is_ready=is_ready,
            refusal=admission.refusal,
            count_refused=admission.count_refused,
            read_delay_ms=path.load_shedder.read_delay_ms,
            knows_class=admission.knows_class,
        )
        self._handover = Handover(config.handover_folder, config.name)

    def listen(self, listeners: Listeners) -> None:
        """Open the port and announce to the previous process that this one serves."""
        if self._config.listening_descriptor is not None:
            listeners.adopt(self._config.listening_descriptor, self._build_connection)
        else:
            listeners.listen(*self._config.listen, self._build_connection)
        self._handover.announce()

    def has_successor(self) -> bool:
        """Return whether another process has taken over the listening socket."""
        return self._handover.has_successor()

    def _build_connection(self) -> FastCgiConnection:
        return FastCgiConnection(self._clients, self._deadlines, core_ms, self._context)
