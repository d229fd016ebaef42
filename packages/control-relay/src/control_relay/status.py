"""Reports about a relay, for the admin endpoint and for the relay's own polls."""

from __future__ import annotations

from control_relay.active_purges import UNKNOWN_GROUP
from control_relay.delivery import Delivery
from control_relay.events import (
    MemberState,
    MemberStatus,
    PurgeStatus,
    Readiness,
    RelayStatus,
    UpstreamProgress,
)
from control_relay.low_water_marks import LowWaterMarks, PropagatingPurge
from control_relay.member import LaggingSummary, summarize_lagging
from control_relay.members import MemberTable
from control_relay.relay_state import RelayState

# The summary if no router lags.
NO_LAGGING_ROUTERS = LaggingSummary(0, ())


class StatusReporter:
    """Builds reports from the components of a relay without changing them."""

    def __init__(
        self,
        epoch: str,
        state: RelayState,
        members: MemberTable,
        low_water_marks: LowWaterMarks,
        delivery: Delivery,
    ) -> None:
        self._epoch = epoch
        self._state = state
        self._members = members
        self._low_water_marks = low_water_marks
        self._delivery = delivery

    def status(self, now: float, readiness: Readiness) -> RelayStatus:
        """Return the relay's readiness, event numbers, sizes and counts at ``now`` (ms)."""
        state = self._state
        freshness = self._delivery.freshness
        unreachable = sum(self._members.is_unreachable(member, now) for member in self._members)
        return RelayStatus(
            ready=readiness is Readiness.READY,
            epoch=self._epoch,
            head=state.log.delivered,
            acknowledged=self._low_water_marks.acknowledged,
            age_ms=freshness.age_ms(now) if freshness.is_confirmed else None,
            seq=state.endpoints.seq,
            endpoints=len(state.endpoints),
            purges=len(state.purges),
            log_events=len(state.log),
            log_bytes=state.log.size_bytes,
            pending_polls=len(self._delivery.pending_polls),
            reachable_members=len(self._members) - unreachable,
            unreachable_members=unreachable,
            evicted_members=self._members.evicted,
            faults=dict(state.faults),
        )

    def recent_purges(self) -> tuple[PurgeStatus, ...]:
        """Return the propagation status of the most recent purges, oldest first."""
        return tuple(self._purge_status(purge) for purge in self._low_water_marks.recent_purges)

    def lagging_members(self, now: float) -> tuple[MemberStatus, ...]:
        """Return the members that have not acknowledged the last delivered event, the most lagging first."""
        statuses = []
        for member in self._members.not_acknowledged(self._state.log.delivered):
            unreachable = self._members.is_unreachable(member, now)
            status = MemberStatus(
                name=member.name,
                role=member.role,
                state=MemberState.UNREACHABLE if unreachable else MemberState.LAGGING,
                lagging_since_ms=min(now, self._delivery.delivery_times.first_after(member.acknowledged)),
                lagging_count=member.represented_count,
                lagging_names=member.represented_names,
            )
            statuses.append(status)
        return tuple(statuses)

    def upstream_progress(self) -> UpstreamProgress:
        """Return what the relay reports in its polls; lagging members are those at the low-water mark."""
        summary = NO_LAGGING_ROUTERS
        if self._low_water_marks.acknowledged < self._state.log.delivered:
            summary = summarize_lagging(
                self._members.not_acknowledged(self._low_water_marks.acknowledged + 1)
            )
        return UpstreamProgress(self._low_water_marks.upstream_acknowledged, summary.count, summary.names)

    def _purge_status(self, purge: PropagatingPurge) -> PurgeStatus:
        summary = NO_LAGGING_ROUTERS
        if purge.propagated_at_ms is None:
            summary = summarize_lagging(self._members.not_acknowledged(purge.number))
        target = purge.target
        return PurgeStatus(
            number=purge.number,
            key=target if isinstance(target, str) else None,
            group=UNKNOWN_GROUP if isinstance(target, str) else target,
            issued_unix_ms=purge.issued_unix_ms,
            received_at_ms=purge.received_at_ms,
            propagated_at_ms=purge.propagated_at_ms,
            lagging_count=summary.count,
            lagging_names=summary.names,
        )
