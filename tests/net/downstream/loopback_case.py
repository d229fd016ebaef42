"""Base of the tests of client connections on loopback sockets, with the real core and scripted servers."""

from __future__ import annotations

from fakes.raw_socket import BareClients
from twisted.trial.unittest import TestCase

from tests.loopback import Rig
from thornjunction import interface as api
from thornjunction.net.event_loop.timer_service import core_ms
from thornjunction.runtime.drain import Drain
from thornjunction.runtime.shutdown import Shutdown

SIGNED_PORT = 2
"""Place of the signed front among the rig's ports."""

PLATFORM_PORT = 3
"""Place of the platform's front among the rig's ports."""

LARGE_RESPONSE = (b"DONE", b"w" * 240_000)
"""A step of the servers' script: more than the sockets between router and client take."""


class LoopbackTestCase(TestCase):
    """A router with both fronts on loopback, and clients whose sends and ends are ordered by the test."""

    timeout = 10

    def setUp(self) -> None:
        self.rig = Rig()
        self.addCleanup(self.rig.stop)
        self.engine = self.rig.engine
        self.clients = BareClients(self.rig)
        self.addCleanup(self.clients.close)
        self.until = self.rig.until
        self.stop_calls: list[bool] = []

    def forwarded_count(self) -> int:
        """Attempts that servers have received."""
        return len(self.rig.wants())

    async def until_forwarded(self, count: int) -> None:
        """Turn the reactor until servers have received so many attempts."""
        await self.until(lambda: self.forwarded_count() == count)

    async def until_gone(self, *clients: object) -> None:
        """Let the clients leave, and turn the reactor until the router holds nothing of any client."""
        for client in clients:
            client.leave()  # type: ignore[attr-defined]
        await self.clients.gone()

    def build_drain(self) -> Drain:
        """A drain that is not started."""
        return Drain(self.rig.clients, self.rig.alarm.deadlines, core_ms, self.engine.answer_all_now)

    def build_shutdown(self, drain: Drain) -> Shutdown:
        """A shutdown that is not started; ``stop_calls`` has an entry once it would end the process."""
        return Shutdown(
            self.rig.clients,
            drain,
            self.engine,
            self.rig.alarm.deadlines,
            core_ms,
            lambda: self.stop_calls.append(True),
        )

    def drain_servers(self) -> None:
        """Discovery lists the edge cache as draining."""
        self.rig.list_servers(api.ServerState.DRAINING)
