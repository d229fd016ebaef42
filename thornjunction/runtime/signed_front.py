"""The signed-URL front of a router: its port, reloads of its key set and TLS files, and its replay gossip.

This module is imported only if the operators' file has a ``[signed]`` section.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from twisted.internet import protocol

from thornjunction import interface as api
from thornjunction.core.engine import Engine
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.downstream.connection_table import DownstreamTable
from thornjunction.net.downstream.signed_front import SignedConnection
from thornjunction.net.downstream.signed_requests import SignedRequestContext
from thornjunction.net.event_loop.ports import ListeningPort
from thornjunction.net.event_loop.timer_service import core_ms
from thornjunction.net.event_loop.transport import BuildFactory
from thornjunction.net.gossip.replay_gossip import GossipGroup, ReplayGossip
from thornjunction.runtime.key_set import KeySetReloader, ReloadableFile
from thornjunction.runtime.process_reactor import ProcessReactor
from thornjunction.runtime.signed_settings import GossipSettings, SignedFrontSettings, TlsFiles

if TYPE_CHECKING:
    from thornjunction.runtime.tls import CertificateReloader

# Listen backlog: connections that the operating system queues until they are accepted.
LISTEN_BACKLOG = 1024

# Opens a port without TLS; the arguments are host, port, and a function that builds a connection's protocol.
ListenPlain = Callable[[str, int, Callable[[], protocol.Protocol]], None]


@dataclass(frozen=True, slots=True)
class ScheduledReload:
    """A file that is read again at an interval."""

    file: ReloadableFile
    interval_s: float


class SignedFront:
    """The signed-URL front.

    Raises:
        TlsError: its certificate and key cannot be used.
    """

    def __init__(
        self,
        settings: SignedFrontSettings,
        engine: Engine,
        classes: dict[str, api.RequestClass],
        clients: DownstreamTable,
        deadlines: Deadlines,
    ) -> None:
        self.request_context = SignedRequestContext(
            engine,
            classes,
            settings.base,
            settings.trust,
            settings.replay_window,
            time.time,
            settings.forwarding,
        )
        self._settings = settings
        self._clients = clients
        self._deadlines = deadlines
        if settings.gossip is not None:
            self.request_context.gossip = self._build_gossip(settings.gossip)
        self._reloads: list[ScheduledReload] = []
        if settings.keyset is not None:
            keys = KeySetReloader(self.request_context, settings.keyset)
            self._reloads.append(ScheduledReload(keys, settings.keyset.reload_interval_s))
        self._certificates = self._build_certificates(settings.tls) if settings.tls is not None else None

    def listen(self, reactor: ProcessReactor, listen_plain: ListenPlain) -> list[ListeningPort]:
        """Open the front's ports and start the timers of its reloads.

        If TLS is off, the port for clients is opened by ``listen_plain``.  Returns the other ports, which the
        caller closes at the shutdown.
        """
        ports: list[ListeningPort] = []
        if self.request_context.gossip is not None and self._settings.gossip is not None:
            gossip_address = self._settings.gossip.listen
            ports.append(
                reactor.listenUDP(
                    gossip_address.port, self.request_context.gossip, interface=gossip_address.host
                )
            )
        for scheduled in self._reloads:
            self._reload_repeatedly(scheduled)
        host, port = self._settings.listen
        if self._certificates is None:
            listen_plain(host, port, self._build_connection)
        else:
            factory = BuildFactory(self._build_connection)
            ports.append(reactor.listenSSL(port, factory, self._certificates, LISTEN_BACKLOG, host))
        return ports

    def reload(self) -> None:
        """Reload the key set and the TLS files now."""
        for scheduled in self._reloads:
            scheduled.file.reload()

    def _build_gossip(self, settings: GossipSettings) -> ReplayGossip:
        group = GossipGroup(settings.peers, settings.secret)
        return ReplayGossip(self._settings.replay_window, group, self._deadlines, core_ms, time.time)

    def _build_certificates(self, files: TlsFiles) -> CertificateReloader:
        from thornjunction.runtime.tls import CertificateReloader  # imports pyOpenSSL, needed only with TLS

        certificates = CertificateReloader(files)
        self._reloads.append(ScheduledReload(certificates, files.reload_interval_s))
        return certificates

    def _reload_repeatedly(self, scheduled: ScheduledReload) -> None:
        scheduled.file.reload()
        next_reload_ms = core_ms() + scheduled.interval_s * 1000.0
        self._deadlines.add(next_reload_ms, lambda: self._reload_repeatedly(scheduled))

    def _build_connection(self) -> SignedConnection:
        return SignedConnection(self._clients, self._deadlines, core_ms, self.request_context)
