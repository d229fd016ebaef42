"""Poll handling: answers a poll with changes or the complete state, keeps it pending, or rejects it."""

from __future__ import annotations

from dataclasses import dataclass

from control_relay.delivery import Delivery
from control_relay.events import (
    PollerRole,
    PollReceived,
    PollRequest,
    RejectPoll,
    RejectReason,
    RelayAction,
)
from control_relay.member import Member
from control_relay.members import MemberTable, MemberTableFullError, PollContinuity
from control_relay.relay_state import RelayState
from control_relay.settings import RelaySettings
from control_relay.validation import NAME_PATTERN, duration_or_zero, int_or_default


@dataclass(frozen=True, slots=True)
class Epoch:
    """The epoch of a relay's event numbers: its name, and the first number in it."""

    name: str
    first_number: int


class PollHandler:
    """Handles the polls of a relay that is ready."""

    def __init__(
        self,
        settings: RelaySettings,
        epoch: Epoch,
        state: RelayState,
        members: MemberTable,
        delivery: Delivery,
    ) -> None:
        self._settings = settings
        self._epoch = epoch
        self._log = state.log
        self._endpoints = state.endpoints
        self._members = members
        self._delivery = delivery

    def handle(self, now: float, event: PollReceived) -> list[RelayAction]:
        """Answer or reject a poll, or keep it pending until an event is delivered."""
        poller = event.poller
        request = event.request
        pending_polls = self._delivery.pending_polls
        pending_polls.remove(poller)
        if request.role == PollerRole.PROBE:
            self._deregister_prober(now, poller, request)
            return [self._delivery.respond_to_probe(now, poller)]
        if len(pending_polls) >= self._settings.max_pending_polls:
            return [RejectPoll(poller, RejectReason.POLLS_FULL)]
        block_ms = duration_or_zero(request.block_ms, self._settings.max_block_ms)
        try:
            member = self._register(now, poller, request, block_ms)
        except MemberTableFullError:
            return [RejectPoll(poller, RejectReason.ROUTERS_FULL)]
        return self._answer(now, poller, member, request, block_ms)

    def _answer(
        self, now: float, poller: int, member: Member | None, request: PollRequest, block_ms: float
    ) -> list[RelayAction]:
        resume = int_or_default(request.resume)
        continuity = self._poll_continuity(member, request, resume)
        self._delivery.advance_low_water_marks(now)
        if continuity is PollContinuity.UNKNOWN_NUMBER:
            return self._delivery.respond_with_complete_state(now, poller, member, resume=0)
        if not self._has_list(member, resume, continuity):
            return self._delivery.respond_with_complete_state(now, poller, member, resume)
        if resume >= self._log.delivered or self._log.first_after(resume) is None:
            return self._delivery.wait_for_event(now, poller, member, resume, block_ms)
        return [self._delivery.respond_with_changes(now, poller, member, resume)]

    def _register(self, now: float, poller: int, request: PollRequest, block_ms: float) -> Member | None:
        """Return the member that polls; None for a sibling, which is not tracked."""
        if request.role == PollerRole.SIBLING:
            return None
        has_name = isinstance(request.name, str) and NAME_PATTERN.fullmatch(request.name)
        name = request.name if has_name else connection_name(poller)
        role = PollerRole.RELAY if request.role == PollerRole.RELAY else PollerRole.ROUTER
        member = self._members.register_poll(now, name, role, block_ms)
        member.poller = poller
        return member

    def _poll_continuity(self, member: Member | None, request: PollRequest, resume: int) -> PollContinuity:
        """Record what a poll acknowledges; return how its resume number relates to the previous poll."""
        is_current_epoch = not request.epoch or request.epoch == self._epoch.name
        if not is_current_epoch or not self._epoch.first_number <= resume <= self._log.delivered:
            if member is not None:
                self._members.restart(member)
            return PollContinuity.UNKNOWN_NUMBER
        if member is None:
            return PollContinuity.CONTINUED
        return self._members.apply_poll(member, request, resume)

    def _has_list(self, member: Member | None, resume: int, continuity: PollContinuity) -> bool:
        """Return whether the poller has the list to which the changes after ``resume`` apply.

        It may have received purges of a complete state and not yet the list that follows them.
        """
        if resume >= self._endpoints.number:
            return True
        complete_state_number = self._delivery.latest_complete_state_number
        if member is not None and member.complete_state_number is not None:
            complete_state_number = member.complete_state_number
        if continuity is not PollContinuity.CONTINUED:
            return False
        return resume >= self._log.floor and resume >= complete_state_number

    def _deregister_prober(self, now: float, poller: int, request: PollRequest) -> None:
        """Remove a member whose probe states its name, which shows that another source serves it.

        A member that has returned, with a poll pending on another connection, is kept: the probe was delayed.
        """
        member = self._members.get(request.name)
        if member is None:
            return
        has_other_poll = member.poller != poller and member.poller in self._delivery.pending_polls
        if not has_other_poll:
            self._members.remove(request.name)
            self._delivery.advance_low_water_marks(now)


def connection_name(poller: int) -> str:
    """Return the name of a member that is known by its connection only."""
    return f"#{poller}"
