"""Base class of the tests of the signed front on loopback sockets, with the real core."""

from __future__ import annotations

from typing import Any

from twisted.trial.unittest import TestCase

from tests.loopback import make_loopback_environment


class SignedFrontTestCase(TestCase):
    """A router on loopback sockets, with a new HTTP client for each request."""

    timeout = 20

    def setUp(self) -> None:
        self.environment = make_loopback_environment()
        self.addCleanup(self.environment.stop)

    async def request(self, target: str, method: str = "GET", **headers: str) -> Any:
        """Send a request on a new connection, and return its only response."""
        client = await self.environment.connect_client()
        client.send_request(target, method, **headers)
        (response,) = await client.wait_for_answers(1)
        await self.disconnect(client)
        assert len(client.responses) == 1
        return response

    async def disconnect(self, client: Any) -> None:
        client.transport.loseConnection()
        await client.connection_lost

    async def wait_until_cancelled(self) -> None:
        """Run the reactor until a server has received the cancellation of an attempt."""
        await self.environment.wait_until(
            lambda: any(command.verb == "never_mind" for command in self.environment.received_commands)
        )
