"""Requests that are owed their final answer."""

from __future__ import annotations

from dataclasses import dataclass

from thornjunction import interface as api
from thornjunction.core.ports import ClientRequest, ReplyCallback
from thornjunction.memory.deadlines import Deadline

# Open requests; their bytes are bounded at the connections.
REQUEST_CAPACITY = 4096

# Number of a request that is not in the table yet.
NO_NUMBER = -1


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that is owed its final answer.

    Attributes:
        client_request: what the client asked for.
        reply: takes the final answer.
        opened_ms: when the engine took it on.
        max_attempts: attempts it may make, by the settings at that time.
        attempts_made: how many it has made, with those that were skipped.
        backstop: the deadline at which it fails, whatever the router does.
        number: its place in the table of requests.
    """

    client_request: ClientRequest
    reply: ReplyCallback
    opened_ms: float
    max_attempts: int
    attempts_made: int = 0
    backstop: Deadline | None = None
    number: int = NO_NUMBER

    @property
    def request_id(self) -> str:
        """How the router names it."""
        return str(self.number)

    def event(self, left_ms: float) -> api.Request:
        """Return the router's event for it, with so much of the client's time left."""
        client_request = self.client_request
        return api.Request(
            request_id=self.request_id,
            class_name=client_request.class_name,
            key=int(client_request.object_id, 16),
            remaining_ms=left_ms,
            part=client_request.part,
            group=client_request.group,
            size_kb=client_request.size_kb,
            idempotency_key=client_request.idempotency_key,
        )
