"""The table of members, indexed so that the lowest acknowledged number is known without a search."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator
from enum import Enum

from sortedcontainers import SortedDict

from control_relay.events import PollerRole, PollRequest
from control_relay.member import MAX_LAGGING_NAMES, Member
from control_relay.settings import RelaySettings
from control_relay.validation import NAME_PATTERN, int_or_default

# Upper bound on the number of lagging routers in a relay's report; a higher one is reduced to this.
MAX_REPORTED_LAGGING = 1 << 20


class PollContinuity(Enum):
    """How the resume number of a poll relates to that of its sender's previous poll."""

    # At or above the last poll's number, or from a sibling, which is not tracked.
    CONTINUED = "continued"
    # Below the last poll's number: the sender restarted.
    REWOUND = "rewound"
    # Not a number that this relay has assigned in this epoch.
    UNKNOWN_NUMBER = "foreign"


class MemberTableFullError(Exception):
    """The table is full and every member is reachable or expected."""


class MemberTable:
    """Members by name, by what they have acknowledged, and by the time since their last poll."""

    def __init__(self, settings: RelaySettings) -> None:
        self.lowest_acknowledged = math.inf  # infinite without members
        self.evicted = 0
        self._absence_timeout_ms = settings.absence_timeout_ms
        self._max_members = settings.max_members
        self._by_name: dict[str, Member] = {}
        self._by_acknowledged: SortedDict[int, dict[str, Member]] = SortedDict()
        self._evictable: OrderedDict[str, Member] = OrderedDict()  # not expected; least recent poll first
        for name in settings.expected_members[: self._max_members]:
            self._insert(Member(name, PollerRole.ROUTER, is_expected=True, last_poll_at_ms=0.0))

    def __len__(self) -> int:
        return len(self._by_name)

    def __iter__(self) -> Iterator[Member]:
        return iter(self._by_name.values())

    def get(self, name: object) -> Member | None:
        """Return the member of this name, which comes from the network and may be of any type."""
        return self._by_name.get(name) if isinstance(name, str) else None

    def register_poll(self, now: float, name: str, role: PollerRole, block_ms: float) -> Member:
        """Return the member that polls, a new one where the name is unknown.

        Raises MemberTableFullError where there is no room for a new one.
        """
        member = self._by_name.get(name)
        if member is None:
            if len(self._by_name) >= self._max_members:
                self._evict_longest_unreachable(now)
            member = Member(name, role, is_expected=False, last_poll_at_ms=now)
            self._insert(member)
        elif not member.is_expected:
            self._evictable.move_to_end(name)
        member.role = role
        member.last_poll_at_ms = now
        member.block_ms = block_ms
        return member

    def apply_poll(self, member: Member, request: PollRequest, resume: int) -> PollContinuity:
        """Record the events that a member's poll in this epoch acknowledges.

        A number below that of the last poll is a restart, which acknowledges nothing.
        """
        if resume < member.resume:
            self.restart(member)
            member.resume = resume
            return PollContinuity.REWOUND
        # A response that never arrived must not be acknowledged by the number of a later event.
        member.discard_responses_after(resume)
        member.resume = resume
        acknowledged = resume
        if member.role is PollerRole.RELAY:
            acknowledged = min(resume, int_or_default(request.acknowledged))
            self._record_reported_progress(member, request)
        self._set_acknowledged(member, member.acknowledge(acknowledged))
        return PollContinuity.CONTINUED

    def restart(self, member: Member) -> None:
        """Reset what a member has acknowledged to 0, because it may lack every earlier event."""
        member.unacknowledged.clear()
        member.resume = 0
        self._set_acknowledged(member, 0)

    def remove(self, name: object) -> None:
        """Remove a member, if the name is known, so that nothing waits for its acknowledgement."""
        member = self.get(name)
        if member is not None:
            del self._by_name[member.name]
            self._evictable.pop(member.name, None)
            self._remove_from_index(member)

    def is_unreachable(self, member: Member, now: float) -> bool:
        """Return whether a member has missed the time of its next poll."""
        return now - member.last_poll_at_ms > member.block_ms + self._absence_timeout_ms

    def not_acknowledged(self, number: int) -> Iterator[Member]:
        """Yield the members that have not acknowledged ``number``, those that lack the most events first."""
        for acknowledged, members in self._by_acknowledged.items():
            if acknowledged >= number:
                return
            yield from members.values()

    def _record_reported_progress(self, member: Member, request: PollRequest) -> None:
        count = int_or_default(request.lagging_count)
        names = request.lagging_names[:MAX_LAGGING_NAMES]
        member.reported_lagging_count = min(max(0, count), MAX_REPORTED_LAGGING)
        member.reported_lagging_names = tuple(
            name for name in names if isinstance(name, str) and NAME_PATTERN.fullmatch(name)
        )

    def _insert(self, member: Member) -> None:
        self._by_name[member.name] = member
        if not member.is_expected:
            self._evictable[member.name] = member
        self._add_to_index(member)

    def _set_acknowledged(self, member: Member, number: int) -> None:
        if number == member.acknowledged:
            return
        self._remove_from_index(member)
        member.acknowledged = number
        self._add_to_index(member)

    def _add_to_index(self, member: Member) -> None:
        same_acknowledged = self._by_acknowledged.get(member.acknowledged)
        if same_acknowledged is None:
            same_acknowledged = {}
            self._by_acknowledged[member.acknowledged] = same_acknowledged
            self.lowest_acknowledged = min(self.lowest_acknowledged, member.acknowledged)
        same_acknowledged[member.name] = member

    def _remove_from_index(self, member: Member) -> None:
        same_acknowledged = self._by_acknowledged[member.acknowledged]
        del same_acknowledged[member.name]
        if same_acknowledged:
            return
        del self._by_acknowledged[member.acknowledged]
        numbers = self._by_acknowledged.keys()
        self.lowest_acknowledged = numbers[0] if numbers else math.inf

    def _evict_longest_unreachable(self, now: float) -> None:
        """Remove the member that has been unreachable for longest; expected ones are never evicted."""
        least_recent_poller = next(iter(self._evictable.values()), None)
        if least_recent_poller is None or not self.is_unreachable(least_recent_poller, now):
            raise MemberTableFullError
        self.remove(least_recent_poller.name)
        self.evicted += 1
