"""Requests that have no final answer yet, as the engine keeps them."""

from __future__ import annotations

from dataclasses import dataclass

from thornjunction import interface as api
from thornjunction.core.ports import ClientRequest, ReplyCallback
from thornjunction.memory.deadlines import Deadline

# Greatest number of open requests; the connections bound the memory of their contents.
REQUEST_CAPACITY = 4096

# Number of a request that has not been added to the table yet.
NO_NUMBER = -1


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request that has no final answer yet.

    Attributes:
        client_request: the request as a front decoded it.
        reply: is called with the final answer.
        opened_ms: when the engine accepted it, on the core's clock.
        max_attempts: greatest number of its attempts, by the settings when it was opened.
        attempts_made: number of attempts so far, including those that were not started.
        backstop: the deadline at which the engine fails it if the router has not answered it.
        number: its slot in the table of requests.
        known_executions: possible executions under its key by other processes that the router knows of.
    """

    client_request: ClientRequest
    reply: ReplyCallback
    opened_ms: float
    max_attempts: int
    attempts_made: int = 0
    backstop: Deadline | None = None
    number: int = NO_NUMBER
    known_executions: tuple[api.PossibleExecution, ...] = ()

    @property
    def request_id(self) -> str:
        """The router's identifier of the request: its number as text."""
        return str(self.number)

    def event(self, remaining_ms: float) -> api.Request:
        """Return the router's event for the request, with the time that remains for its answer."""
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
            transaction_id=client_request.transaction_id,
        )
