"""Base class of the tests of client connections on loopback, with the real core and scripted servers."""

from __future__ import annotations

from fakes.raw_socket_clients import RawSocketClients
from twisted.trial.unittest import TestCase

from tests.loopback import make_loopback_environment
from thornjunction import interface as api
from thornjunction.net.event_loop.timer_service import core_ms
from thornjunction.runtime.drain import Drain
from thornjunction.runtime.shutdown import Shutdown

# A scripted response of a server that is larger than the socket buffers between router and client.
LARGE_RESPONSE = (b"DONE", b"w" * 240_000)


class LoopbackTestCase(TestCase):
    """A router with both fronts on loopback, and clients whose sends and closes the test controls."""

    timeout = 10

    def setUp(self) -> None:
        self.environment = make_loopback_environment()
        self.addCleanup(self.environment.stop)
        self.engine = self.environment.engine
        self.clients = RawSocketClients(self.environment)
        self.addCleanup(self.clients.close)
        self.wait_until = self.environment.wait_until
        self.stop_calls: list[bool] = []

    def forwarded_count(self) -> int:
        """Return the number of attempts that servers have received."""
        return len(self.environment.forwarded_requests())

    async def wait_until_forwarded(self, count: int) -> None:
        """Run the reactor until servers have received ``count`` attempts."""
        await self.wait_until(lambda: self.forwarded_count() == count)

    async def close_and_wait_until_released(self, *clients: object) -> None:
        """Close the clients, and run the reactor until the router has released all client connections."""
        for client in clients:
            client.close()  # type: ignore[attr-defined]
        await self.clients.wait_until_gone()

    def build_drain(self) -> Drain:
        """Return a drain that is not started."""
        return Drain(
            self.environment.downstream_table,
            self.environment.timer_service.deadlines,
            core_ms,
            self.engine.answer_all_now,
        )

    def build_shutdown(self, drain: Drain) -> Shutdown:
        """Return a shutdown that is not started; it adds to ``stop_calls`` when it would end the process."""
        return Shutdown(
            self.environment.downstream_table,
            drain,
            self.engine,
            self.environment.timer_service.deadlines,
            core_ms,
            lambda: self.stop_calls.append(True),
        )

    def drain_servers(self) -> None:
        """Mark the edge cache server as draining in the endpoint list."""
        self.environment.list_servers(api.ServerState.DRAINING)
