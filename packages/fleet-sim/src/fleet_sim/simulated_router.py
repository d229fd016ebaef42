"""What a router runs of the fleet, as one machine of the simulation."""

from __future__ import annotations

from fleet_membership import Membership, MembershipSettings
from gossip_codec import MemberState
from quota_leases import LEASE_CHANNEL, LeaseExchange, QuotaSettings
from sansio_core import Action, Event, RandomSource, SetTimer, ShutdownRequested, Started, TimerFired

GONE = (MemberState.FAILED, MemberState.LEFT)
SHARES_TOKEN = -1  # the members' own tokens are not negative


class Router:
    """What a router runs of the fleet: a member, and its shares of the budgets on the same datagrams."""

    def __init__(self, settings: MembershipSettings, shares: QuotaSettings, draw: RandomSource) -> None:
        self.name = settings.name
        self.member = Membership(settings, draw, self._heard)
        self.keeper: LeaseExchange | None = None
        self._shares = shares
        self._life = settings.incarnation

    def handle(self, now: float, event: Event) -> list[Action]:
        if event == TimerFired(SHARES_TOKEN):
            return self._ask(now)
        if isinstance(event, Started):
            self.keeper = LeaseExchange(self._shares, self.name, self._life, now)
            return [*self.member.handle(now, event), SetTimer(self.keeper.renewal_interval_ms, SHARES_TOKEN)]
        if isinstance(event, ShutdownRequested):
            self.keeper = None
        return self.member.handle(now, event)

    def share(self, now: float) -> float:
        return self.keeper.quota(now) if self.keeper else 0.0

    def _ask(self, now: float) -> list[Action]:
        if self.keeper is None:
            return []
        actions: list[Action] = []
        for request in self.keeper.renew(now, self._live(now)):
            actions += self.member.send_user_message(request.voter, LEASE_CHANNEL, request.body)
        return [*actions, SetTimer(self.keeper.renewal_interval_ms, SHARES_TOKEN)]

    def _heard(self, now: float, sender: str, channel: int, body: bytes) -> bytes | None:
        if self.keeper is None or channel != LEASE_CHANNEL:
            return None
        return self.keeper.handle_message(now, sender, body, self._live(now))

    def _live(self, now: float) -> list[str]:
        return [name for name, m in self.member.view(now).members.items() if m.state not in GONE]
