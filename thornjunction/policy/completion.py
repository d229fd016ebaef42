"""How requests end: closed, rejected or failed."""

from __future__ import annotations

from thornjunction import interface as api
from thornjunction.policy.context import DecisionContext
from thornjunction.policy.requests import PendingRequest, RequestTable


class Completion:
    """Gives each request its one final answer where no server gave it."""

    def __init__(self, context: DecisionContext, requests: RequestTable) -> None:
        self._context = context
        self._requests = requests

    def close(self, request: PendingRequest) -> None:
        """Forget a request; attempts still in flight are cancelled where that saves work."""
        self._requests.remove(request)
        if not self._context.settings.may_cancel:
            return
        for attempt in request.in_flight:
            self._context.actions.append(api.CancelAttempt(request.id, attempt.number))

    def give_up(self, request: PendingRequest) -> None:
        """Close a request that nothing served; it is rejected only if a repeat can do no harm."""
        never_executed = not request.in_flight and request.possible_execution is None
        is_repeat_harmless = request.request_class.idempotency is api.Idempotency.IDEMPOTENT or never_executed
        self.close(request)
        if is_repeat_harmless:
            self.reject(request.id)
        else:
            self._context.actions.append(api.FailRequest(request.id))

    def reject(self, request_id: str) -> None:
        """Answer that the request was not served and may be repeated.

        What is rejected now would be rejected in a moment too, so the client is advised to wait, for as
        long as the settings allow.
        """
        settings = self._context.settings
        wait_ms = settings.max_retry_after_ms if settings.may_send_retry_after else 0.0
        self._context.actions.append(api.RejectRequest(request_id, wait_ms))
