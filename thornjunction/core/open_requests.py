"""Requests that have no final answer yet."""

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
    """A request that has no final answer yet.

    Attributes:
        client_request: what the client asked for.
        reply: is called with the final answer.
        opened_ms: when the engine accepted it.
        max_attempts: attempts it may make, by the settings at that time.
        attempts_made: attempts so far, with those that were not started.
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
        """The identifier that the router uses."""
        return str(self.number)

    def event(self, remaining_ms: float) -> api.Request:
        """Return the router's event for it, with this part of the client's time remaining."""
        client_request = self.client_request
        return api.Request(
            request_id=self.request_id,
            class_name=client_request.class_name,
            key=int(client_request.object_id, 16),
            remaining_ms=remaining_ms,
            part=client_request.part,
            group=client_request.group,
            size_kb=client_request.size_kb,
            idempotency_key=client_request.idempotency_key,
        )
