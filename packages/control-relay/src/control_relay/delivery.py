"""Delivery of the log to members: batches, long polls and complete states."""

from __future__ import annotations

from sansio_core import SetTimer

from control_relay.delivery_times import DeliveryTimes
from control_relay.events import RelayAction, SendResponse
from control_relay.freshness import Freshness
from control_relay.low_water_marks import LowWaterMarks
from control_relay.member import Member
from control_relay.members import MemberTable
from control_relay.paged_responses import PagedResponses, Response
from control_relay.pending_polls import DEADLINE_SLOT_MS, PendingPoll, PendingPolls
from control_relay.relay_state import RelayState
from control_relay.settings import RelaySettings

# Token of the timer that delivers a batch.
BATCH_TIMER = 1

# Token of the timer that answers polls whose block time has passed.
POLL_DEADLINE_TIMER = 2


class Delivery:
    """Answers polls from the log, and delivers new events in batches to those that wait."""

    def __init__(
        self,
        settings: RelaySettings,
        epoch: str,
        state: RelayState,
        members: MemberTable,
        low_water_marks: LowWaterMarks,
    ) -> None:
        self.pending_polls = PendingPolls()
        self.freshness = Freshness()
        self.delivery_times = DeliveryTimes()
        # The highest list number in the complete states that were sent.
        self.latest_complete_state_number = 0
        self._batch_window_ms = settings.batch_window_ms
        self._log = state.log
        self._endpoints = state.endpoints
        self._members = members
        self._low_water_marks = low_water_marks
        self._responses = PagedResponses(epoch, state.log, state.endpoints, settings.max_page_bytes)
        self._batch_due_at_ms: float | None = None

    # Batches

    def schedule_batch(self, now: float) -> list[RelayAction]:
        """Start the batch timer for new events, or deliver them now if too many superseded ones are kept."""
        if self._log.has_too_many_superseded:
            return self.deliver_batch(now)
        if self._log.has_undelivered and self._batch_due_at_ms is None:
            self._batch_due_at_ms = now + self._batch_window_ms
            return [SetTimer(self._batch_window_ms, BATCH_TIMER)]
        return []

    def deliver_batch(self, now: float) -> list[RelayAction]:
        """Deliver all new events, in one response for all pending polls."""
        self._batch_due_at_ms = None
        if not self._log.has_undelivered:
            return []
        delivered_before = self._log.delivered
        self._log.mark_delivered()
        self.freshness.mark_delivered()
        self._responses.invalidate()
        self.delivery_times.record(self._log.delivered, now)
        actions: list[RelayAction] = []
        if len(self.pending_polls) and self._log.first_after(delivered_before) is not None:
            response = self._batch_response(now, delivered_before)
            actions = [self._respond_to(poll, response) for poll in self.pending_polls.take_all()]
        self.advance_low_water_marks(now)
        return actions

    def batch_timer_fired(self, now: float) -> list[RelayAction]:
        """Deliver the batch if it is due; an early timer is set again."""
        if self._batch_due_at_ms is None:
            return []
        if now < self._batch_due_at_ms:
            return [SetTimer(self._batch_due_at_ms - now, BATCH_TIMER)]
        return self.deliver_batch(now)

    # Polls

    def respond_with_changes(
        self, now: float, poller: int, member: Member | None, resume: int
    ) -> SendResponse:
        """Answer a poll with the events after ``resume``."""
        response = self._responses.changes(now, self.freshness.age_ms(now), resume)
        return self._respond(poller, member, resume, response)

    def respond_with_complete_state(
        self, now: float, poller: int, member: Member | None, resume: int
    ) -> list[RelayAction]:
        """Answer a poll with the complete list and the active purges after ``resume``."""
        actions: list[RelayAction] = []
        if self._endpoints.number > self._log.delivered:
            # An acknowledgement of the list's number covers the purges before it: deliver them first.
            actions = self.deliver_batch(now)
        response = self._responses.complete_state(now, self.freshness.age_ms(now), resume)
        actions.append(self._respond(poller, member, resume, response))
        return actions

    def respond_to_probe(self, now: float, poller: int) -> SendResponse:
        """Answer with the age alone; this acknowledges nothing."""
        response = self._responses.changes(now, self.freshness.age_ms(now), self._log.delivered)
        return SendResponse(poller, response.body)

    def wait_for_event(
        self, now: float, poller: int, member: Member | None, resume: int, block_ms: float
    ) -> list[RelayAction]:
        """Keep a poll until an event is delivered or its block time has passed."""
        if block_ms < DEADLINE_SLOT_MS:
            response = self._responses.changes(now, self.freshness.age_ms(now), self._log.delivered)
            return [self._respond(poller, member, resume, response)]
        self.pending_polls.add(poller, member, resume, now + block_ms)
        return self._arm_deadline_timer(now)

    def deadline_timer_fired(self, now: float) -> list[RelayAction]:
        """Answer the polls whose block time has passed, without events."""
        actions: list[RelayAction] = []
        due = self.pending_polls.take_due(now)
        if due:
            response = self._responses.changes(now, self.freshness.age_ms(now), self._log.delivered)
            actions = [self._respond_to(poll, response) for poll in due]
        self.pending_polls.timer_fired(now)
        return actions + self._arm_deadline_timer(now)

    # Shared by batches and polls

    def advance_low_water_marks(self, now: float) -> None:
        """Update the low-water marks after a change of members or of the log."""
        self._low_water_marks.advance(now, self._members.lowest_acknowledged, self._log.delivered)

    def invalidate_responses(self) -> None:
        """Drop cached responses after events have left the log."""
        self._responses.invalidate()

    def _batch_response(self, now: float, delivered_before: int) -> Response:
        age_ms = self.freshness.age_ms(now)
        if delivered_before < self._log.floor:
            return self._responses.complete_state(now, age_ms, delivered_before)
        return self._responses.changes(now, age_ms, delivered_before)

    def _arm_deadline_timer(self, now: float) -> list[RelayAction]:
        delay_ms = self.pending_polls.arm_timer(now)
        return [] if delay_ms is None else [SetTimer(delay_ms, POLL_DEADLINE_TIMER)]

    def _respond_to(self, poll: PendingPoll, response: Response) -> SendResponse:
        return self._respond(poll.poller, poll.member, poll.resume, response)

    def _respond(self, poller: int, member: Member | None, resume: int, response: Response) -> SendResponse:
        list_number = response.complete_state_number
        if list_number is not None:
            self.latest_complete_state_number = max(self.latest_complete_state_number, list_number)
        if member is not None:
            _record_response(member, resume, response)
        return SendResponse(poller, response.body)


def _record_response(member: Member, resume: int, response: Response) -> None:
    """Record what the member will have received once it acknowledges the response."""
    if response.complete_state_number is not None:
        member.complete_state_number = response.complete_state_number
        # In a complete state purges may come before the list: their numbers must not acknowledge the list.
        member.unacknowledged.clear()
    elif member.complete_state_number is None:
        member.complete_state_number = 0
    if response.complete_up_to is not None:
        last_number = resume if response.last_number is None else response.last_number
        member.record_response(last_number, response.complete_up_to)
