"""Ends requests: closes, rejects or fails them."""

from __future__ import annotations

from thornjunction import interface as api
from thornjunction.policy.context import DecisionContext
from thornjunction.policy.requests import PendingRequest, RequestTable


class Completion:
    """Closes requests, and answers those that no server has answered: rejected or failed."""

    def __init__(self, context: DecisionContext, requests: RequestTable) -> None:
        self._context = context
        self._requests = requests

    def close(self, request: PendingRequest) -> None:
        """Remove a request; cancel its attempts that are still in flight if the settings allow that."""
        self._requests.remove(request)
        if not self._context.settings.may_cancel:
            return
        for attempt in request.in_flight:
            self._context.actions.append(api.CancelAttempt(request.id, attempt.number))

    def give_up(self, request: PendingRequest) -> None:
        """Close a request that no server has served; reject it if a repeat is harmless, otherwise fail it."""
        never_executed = not request.in_flight and request.possible_execution is None
        is_repeat_harmless = request.request_class.idempotency is api.Idempotency.IDEMPOTENT or never_executed
        self.close(request)
        if is_repeat_harmless:
            self.reject(request.id)
        else:
            self._context.actions.append(api.FailRequest(request.id))

    def reject(self, request_id: str) -> None:
        """Answer that the request was not served and may be repeated.

        A repeat that comes at once would be rejected as well, so the client is advised to wait for the
        longest time that the settings allow.
        """
        settings = self._context.settings
        wait_ms = settings.max_retry_after_ms if settings.may_send_retry_after else 0.0
        self._context.actions.append(api.RejectRequest(request_id, wait_ms))
