"""Base of the tests of the signed front on loopback, over the real core."""

from __future__ import annotations

from typing import Any

from twisted.trial.unittest import TestCase

from tests.loopback import make_loopback_environment


class SignedFrontTestCase(TestCase):
    """A router on loopback, with an HTTP client for each request."""

    timeout = 20

    def setUp(self) -> None:
        self.environment = make_loopback_environment()
        self.addCleanup(self.environment.stop)

    async def request(self, target: str, method: str = "GET", **headers: str) -> Any:
        """The only response on a new connection."""
        client = await self.environment.connect_client()
        client.send_request(target, method, **headers)
        (response,) = await client.wait_for_answers(1)
        await self.disconnect(client)
        assert len(client.responses) == 1
        return response

    async def disconnect(self, client: Any) -> None:
        client.transport.loseConnection()
        await client.connection_lost

    async def until_cancelled(self) -> None:
        """Turn the reactor until a server is told that nobody waits for an attempt."""
        await self.environment.wait_until(
            lambda: any(command.verb == "never_mind" for command in self.environment.received_commands)
        )
