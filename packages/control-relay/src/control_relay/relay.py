"""The relay's state machine: it delivers the events of its upstream to each member that lacks them."""

from __future__ import annotations

from sansio_core import Notice, Started, TimerFired

from control_relay.delivery import BATCH_TIMER, POLL_DEADLINE_TIMER, Delivery
from control_relay.events import (
    EndpointListUpdate,
    MemberDeregistered,
    MemberStatus,
    PollerDisconnected,
    PollReceived,
    PurgeReceived,
    PurgeStatus,
    Readiness,
    RejectPoll,
    RejectReason,
    RelayAction,
    RelayEvent,
    RelayStatus,
    UpstreamChanged,
    UpstreamConfirmed,
    UpstreamProgress,
)
from control_relay.low_water_marks import LowWaterMarks
from control_relay.members import MemberTable
from control_relay.notices import RelayNotice
from control_relay.poll_handling import Epoch, PollHandler, connection_name
from control_relay.relay_state import RelayState
from control_relay.settings import RelaySettings
from control_relay.status import StatusReporter
from control_relay.validation import NAME_PATTERN, age_or_none, int_or_default


class InvalidEpochError(ValueError):
    """The name of an epoch does not match ``NAME_PATTERN``, so that no response could carry it."""

    def __init__(self, epoch: str) -> None:
        super().__init__(f"an epoch is 1 to 32 of [A-Za-z0-9._-], not {epoch!r}")


class Relay:
    """Sans-I/O core of a relay: call ``handle`` with each event and carry out the actions in order.

    ``epoch`` names the relay's event numbers, the first of which is ``first_number``.  Raises
    InvalidEpochError.
    """

    def __init__(self, settings: RelaySettings, epoch: str, first_number: int) -> None:
        if not NAME_PATTERN.fullmatch(epoch):
            raise InvalidEpochError(epoch)
        self.settings = settings
        self.epoch = epoch
        self.readiness = Readiness.NO_STATE
        self.state = RelayState(settings, first_number)
        self.members = MemberTable(settings)
        self.low_water_marks = LowWaterMarks(first_number - 1, settings.recent_purges)
        self.delivery = Delivery(settings, epoch, self.state, self.members, self.low_water_marks)
        self._polls = PollHandler(
            settings, Epoch(epoch, first_number), self.state, self.members, self.delivery
        )
        self._status_reporter = StatusReporter(
            epoch, self.state, self.members, self.low_water_marks, self.delivery
        )

    def handle(self, now: float, event: RelayEvent) -> list[RelayAction]:
        """Process one event that occurred at ``now`` (ms); return the actions to carry out, in order."""
        self._expire_purges(now)
        match event:
            case PollReceived():
                return self._handle_poll(now, event)
            case TimerFired():
                return self._handle_timer(now, event.token)
            case PurgeReceived():
                return self._handle_purge(now, event)
            case EndpointListUpdate():
                return self._handle_list_update(now, event)
            case UpstreamConfirmed():
                return self._handle_confirmation(now, event)
            case PollerDisconnected():
                self.delivery.pending_polls.remove(event.poller)
                self._deregister(now, connection_name(event.poller))
            case MemberDeregistered():
                self._deregister(now, event.name)
            case UpstreamChanged():
                self.low_water_marks.reset_upstream()
            case Started():
                self._start_absence_timeouts(now)
        return []

    # Reports

    def status(self, now: float) -> RelayStatus:
        """Return the relay's readiness, event numbers, sizes and counts at ``now`` (ms)."""
        self._expire_purges(now)
        return self._status_reporter.status(now, self.readiness)

    def recent_purges(self) -> tuple[PurgeStatus, ...]:
        """Return the propagation status of the most recent purges, oldest first."""
        return self._status_reporter.recent_purges()

    def lagging_members(self, now: float) -> tuple[MemberStatus, ...]:
        """Return the members that have not acknowledged the last delivered event, the most lagging first."""
        return self._status_reporter.lagging_members(now)

    def upstream_progress(self) -> UpstreamProgress:
        """Return the progress that this relay reports to its upstream in its polls."""
        return self._status_reporter.upstream_progress()

    def age_ms(self, now: float) -> float:
        """Return an upper bound of the delivered state's age; infinite if discovery never confirmed it."""
        return self.delivery.freshness.age_ms(now)

    # Upstream events

    def _handle_list_update(self, now: float, event: EndpointListUpdate) -> list[RelayAction]:
        notices = self.state.apply_list_update(event)
        return [*notices, *self._after_upstream_event(now, event.number)]

    def _handle_purge(self, now: float, event: PurgeReceived) -> list[RelayAction]:
        result = self.state.apply_purge(now, event)
        if result.purge is not None:
            self.low_water_marks.recent_purges.append(result.purge)
        return [*result.notices, *self._after_upstream_event(now, event.number)]

    def _after_upstream_event(self, now: float, upstream_number: int) -> list[RelayAction]:
        self.low_water_marks.record_upstream_event(int_or_default(upstream_number))
        actions = self.delivery.schedule_batch(now)
        self.delivery.advance_low_water_marks(now)
        return actions

    def _handle_confirmation(self, now: float, event: UpstreamConfirmed) -> list[RelayAction]:
        freshness = self.delivery.freshness
        age_ms = age_or_none(event.age_ms)
        if age_ms is not None:
            freshness.confirm(now - age_ms)
        if not self.state.log.has_undelivered:
            freshness.mark_delivered()
        self.low_water_marks.add_checkpoint(self.state.log.head, int_or_default(event.number))
        self.delivery.advance_low_water_marks(now)
        has_state = self.state.endpoints.number > 0 and freshness.is_confirmed
        if self.readiness is Readiness.READY or not has_state:
            return []
        self.readiness = Readiness.READY
        return [Notice(RelayNotice.RELAY_READY, {"epoch": self.epoch}), *self.delivery.deliver_batch(now)]

    # Events of members

    def _handle_poll(self, now: float, event: PollReceived) -> list[RelayAction]:
        if self.readiness is Readiness.NO_STATE:
            return [RejectPoll(event.poller, RejectReason.NO_STATE)]
        return self._polls.handle(now, event)

    def _deregister(self, now: float, name: str) -> None:
        self.members.remove(name)
        self.delivery.advance_low_water_marks(now)

    # Time

    def _start_absence_timeouts(self, now: float) -> None:
        for member in self.members:
            member.last_poll_at_ms = now

    def _handle_timer(self, now: float, token: int) -> list[RelayAction]:
        if token == BATCH_TIMER:
            return self.delivery.batch_timer_fired(now)
        if token == POLL_DEADLINE_TIMER:
            return self.delivery.deadline_timer_fired(now)
        return []

    def _expire_purges(self, now: float) -> None:
        if self.state.expire_purges(now):
            self.delivery.invalidate_responses()
