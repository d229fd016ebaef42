"""Base of the tests of client connections on loopback sockets, with the real core and scripted servers."""

from __future__ import annotations

from fakes.raw_socket_clients import RawSocketClients
from twisted.trial.unittest import TestCase

from tests.loopback import make_loopback_environment
from thornjunction import interface as api
from thornjunction.net.event_loop.timer_service import core_ms
from thornjunction.runtime.drain import Drain
from thornjunction.runtime.shutdown import Shutdown

# A step of the servers' script: more than the sockets between router and client take.
LARGE_RESPONSE = (b"DONE", b"w" * 240_000)


class LoopbackTestCase(TestCase):
    """A router with both fronts on loopback, and clients whose sends and ends are ordered by the test."""

    timeout = 10

    def setUp(self) -> None:
        self.environment = make_loopback_environment()
        self.addCleanup(self.environment.stop)
        self.engine = self.environment.engine
        self.clients = RawSocketClients(self.environment)
        self.addCleanup(self.clients.close)
        self.until = self.environment.wait_until
        self.stop_calls: list[bool] = []

    def forwarded_count(self) -> int:
        """Attempts that servers have received."""
        return len(self.environment.forwarded_requests())

    async def until_forwarded(self, count: int) -> None:
        """Turn the reactor until servers have received so many attempts."""
        await self.until(lambda: self.forwarded_count() == count)

    async def until_gone(self, *clients: object) -> None:
        """Let the clients leave, and turn the reactor until the router holds nothing of any client."""
        for client in clients:
            client.close()  # type: ignore[attr-defined]
        await self.clients.wait_until_gone()

    def build_drain(self) -> Drain:
        """A drain that is not started."""
        return Drain(
            self.environment.downstream_table,
            self.environment.timer_service.deadlines,
            core_ms,
            self.engine.answer_all_now,
        )

    def build_shutdown(self, drain: Drain) -> Shutdown:
        """A shutdown that is not started; ``stop_calls`` has an entry once it would end the process."""
        return Shutdown(
            self.environment.downstream_table,
            drain,
            self.engine,
            self.environment.timer_service.deadlines,
            core_ms,
            lambda: self.stop_calls.append(True),
        )

    def drain_servers(self) -> None:
        """Discovery lists the edge cache as draining."""
        self.environment.list_servers(api.ServerState.DRAINING)
