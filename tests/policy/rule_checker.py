"""Checks every action of a router against the operators' rules, at the time of the action."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Any

from tests.helpers import EDGES, RouterDriver
from thornjunction import interface as api
from thornjunction.limits.idempotency import NEVER_EXECUTED


@dataclass(frozen=True, slots=True)
class OpenAttempt:
    """An attempt that has no outcome yet, and its start time."""

    started_ms: float
    attempt: api.StartAttempt


class RuleChecker:
    """Drives a router and asserts the rules for each of its actions.

    Attributes:
        open_attempts: the attempts that have no outcome yet.
        classes: the request class of each request.
        answered: the ids of the requests with a final answer.
    """

    def __init__(self, entries: tuple[api.ServerEntry, ...], settings: dict[str, Any]) -> None:
        self.open_attempts: list[OpenAttempt] = []
        self.classes: dict[str, api.RequestClass] = {}
        self.answered: list[str] = []
        self._entries = {entry.server: entry for entry in entries}
        self._driver = RouterDriver(entries, **settings)
        self._max_other_attempts = int(settings["may_hedge"])
        self._peer_fill = settings["peer_fill"]
        self._checked_actions = 0
        # Start times of the attempts that may have been executed, by request id.
        self._possible_executions_ms: dict[str, list[float]] = {}

    def request(self, request_class: api.RequestClass, key: int) -> None:
        """Request an object."""
        self.classes[str(self._driver.request_count + 1)] = request_class
        self._driver.request(key=key, class_name=request_class.name)
        self._check_actions()

    def advance(self, elapsed_ms: float) -> None:
        """Let time pass."""
        self._driver.advance(elapsed_ms)
        self._check_actions()

    def end_attempt(self, index: int, status: api.AttemptStatus, **fields: Any) -> None:
        """End the open attempt at this index."""
        ended = self.open_attempts.pop(index)
        request_id = ended.attempt.request_id
        if status in NEVER_EXECUTED:
            self._possible_executions_ms[request_id].remove(ended.started_ms)
        if status is api.AttemptStatus.SUCCEEDED and request_id not in self.answered:
            self.answered.append(request_id)
        is_final = request_id in self.answered
        no_fill = api.FillResult.NONE
        self._driver.end_attempt(ended.attempt, status, fill_result=no_fill, final=is_final, **fields)
        self._check_actions()

    def _check_actions(self) -> None:
        for now_ms, action in self._driver.action_log[self._checked_actions :]:
            if isinstance(action, api.RejectRequest | api.FailRequest):
                self._check_final_answer(action)
            if isinstance(action, api.StartAttempt):
                self._check_attempt(now_ms, action)
        self._checked_actions = len(self._driver.action_log)

    def _check_final_answer(self, action: api.RejectRequest | api.FailRequest) -> None:
        """Check that a request that may have been executed is rejected only if it is idempotent."""
        is_idempotent = self.classes[action.request_id].idempotency is api.Idempotency.IDEMPOTENT
        may_have_been_executed = bool(self._possible_executions_ms.get(action.request_id))
        assert isinstance(action, api.FailRequest) or not may_have_been_executed or is_idempotent
        self.answered.append(action.request_id)

    def _check_attempt(self, now_ms: float, attempt: api.StartAttempt) -> None:
        request_class = self.classes[attempt.request_id]
        other_attempts = [
            other for other in self.open_attempts if other.attempt.request_id == attempt.request_id
        ]
        assert attempt.request_id not in self.answered
        assert len(other_attempts) <= self._max_other_attempts
        executions_ms = self._possible_executions_ms.setdefault(attempt.request_id, [])
        assert not executions_ms or now_ms - executions_ms[0] <= repeat_window_ms(request_class)
        executions_ms.append(now_ms)
        self.open_attempts.append(OpenAttempt(now_ms, attempt))
        assert self._entries[attempt.server] in EDGES
        assert attempt.max_age_ms <= request_class.freshness_ms + request_class.stale_grace_ms
        self._check_source(attempt, request_class)

    def _check_source(self, attempt: api.StartAttempt, request_class: api.RequestClass) -> None:
        """Check that another edge cache is the source only if the settings allow it."""
        source = self._entries[attempt.source]
        if source.role is not api.Role.EDGE or attempt.source == attempt.server:
            return
        is_local_peer = self._peer_fill is api.PeerFill.ZONE and source.zone == "here"
        assert is_local_peer or self._peer_fill is api.PeerFill.ANY
        assert attempt.cached_only
        assert not request_class.uncacheable


def repeat_window_ms(request_class: api.RequestClass) -> float:
    """Return the milliseconds within which a request of a class may be sent again."""
    if request_class.idempotency is api.Idempotency.IDEMPOTENT:
        return math.inf
    if request_class.idempotency is api.Idempotency.KEYED:
        return request_class.deduplication_window_ms
    return -1.0
