"""Puts the second front together: its door, its key set and TLS pair read in service, its gossip.  Imported
only where the operators' file has a ``[signed]`` section."""

from __future__ import annotations

import time
from typing import Any

from thornjunction import interface as api
from thornjunction.core.engine import Engine
from thornjunction.memory.deadlines import Deadlines
from thornjunction.net.alarm import core_ms
from thornjunction.net.client_link import ClientTable
from thornjunction.net.front_signed import Door, SignedLink
from thornjunction.net.gossip import Gossip
from thornjunction.net.transport import Building
from thornjunction.runtime.extras import SignedFront, TlsFiles
from thornjunction.runtime.keys import KeyWatch, Watch


class SecondFront:
    """The signed-URL front of one router.  TlsError where its pair can't serve."""

    def __init__(
        self,
        told: SignedFront,
        engine: Engine,
        classes: dict[str, api.RequestClass],
        clients: ClientTable,
        deadlines: Deadlines,
    ) -> None:
        self.told, self.clients, self.deadlines = told, clients, deadlines
        self.door = Door(engine, classes, told.base, told.trust, told.replays, time.time, told.forwarding)
        if told.gossip is not None:
            peers, secret = told.gossip.peers, told.gossip.secret
            self.door.gossip = Gossip(told.replays, peers, secret, deadlines, core_ms, time.time)
        self.watches: list[tuple[Watch, float]] = []  # files read in service, and every how many seconds
        if told.keyset is not None:
            self.watches.append((KeyWatch(self.door, told.keyset), told.keyset.every_s))
        self.certs = self._certs(told.tls) if told.tls is not None else None

    def _certs(self, files: TlsFiles) -> Any:
        from thornjunction.runtime.tls import CertWatch  # pyOpenSSL, only where TLS is on

        certs = CertWatch(files)
        self.watches.append((certs, files.every_s))
        return certs

    def listen(self, reactor: Any, plain: Any) -> list[Any]:
        """Start what listens beside the front's own port; ``plain(host, port, build)`` opens that one where
        TLS is off.  The ports to close at the end."""
        ports: list[Any] = []
        if self.door.gossip is not None and self.told.gossip is not None:
            host, port = self.told.gossip.listen
            ports.append(reactor.listenUDP(port, self.door.gossip, interface=host))
        for watch, every_s in self.watches:
            self._look_again(watch, every_s)
        host, port = self.told.listen
        if self.certs is None:
            plain(host, port, self._link)
        else:
            ports.append(reactor.listenSSL(port, Building(self._link), self.certs, 1024, host))
        return ports

    def look(self) -> None:
        """Read the key set and the TLS pair again, now."""
        for watch, _ in self.watches:
            watch.look()

    def _look_again(self, watch: Watch, every_s: float) -> None:
        watch.look()
        self.deadlines.add(core_ms() + every_s * 1000, lambda: self._look_again(watch, every_s))

    def _link(self) -> SignedLink:
        return SignedLink(self.clients, self.deadlines, core_ms, self.door)
