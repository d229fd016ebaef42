"""The fleet membership and quota leases of a router, as one state machine for the simulation."""

from __future__ import annotations

from fleet_membership import Membership, MembershipSettings
from fleet_membership.member_table import DEAD_STATES
from quota_leases import LEASE_CHANNEL, LeaseExchange, QuotaSettings
from sansio_core import Action, Event, RandomSource, SetTimer, ShutdownRequested, Started, TimerFired

# The token of the timer for lease renewals; the tokens of ``Membership`` are not negative.
RENEWAL_TOKEN = -1


class SimulatedRouter:
    """A member of the fleet, with quota leases that are exchanged by its datagrams."""

    def __init__(self, settings: MembershipSettings, quotas: QuotaSettings, random: RandomSource) -> None:
        self.name = settings.name
        self.membership = Membership(settings, random, self._handle_user_message)
        self._leases: LeaseExchange | None = None
        self._quotas = quotas
        self._incarnation = settings.incarnation

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event; return the actions to carry out, in order."""
        match event:
            case TimerFired(token) if token == RENEWAL_TOKEN:
                return self._renew(now)
            case Started():
                self._leases = LeaseExchange(self._quotas, self.name, self._incarnation, now)
                timer = SetTimer(self._leases.renewal_interval_ms, RENEWAL_TOKEN)
                return [*self.membership.handle(now, event), timer]
            case ShutdownRequested():
                self._leases = None
        return self.membership.handle(now, event)

    def quota(self, now: float) -> float:
        """Return the share of each budget that this router may use now; 0 once it has left."""
        return self._leases.quota(now) if self._leases else 0.0

    def _renew(self, now: float) -> list[Action]:
        if self._leases is None:
            return []
        actions: list[Action] = []
        for request in self._leases.renew(now, self._live_routers(now)):
            actions += self.membership.send_user_message(request.voter, LEASE_CHANNEL, request.body)
        return [*actions, SetTimer(self._leases.renewal_interval_ms, RENEWAL_TOKEN)]

    def _handle_user_message(self, now: float, sender: str, channel: int, body: bytes) -> bytes | None:
        if self._leases is None or channel != LEASE_CHANNEL:
            return None
        return self._leases.handle_message(now, sender, body, self._live_routers(now))

    def _live_routers(self, now: float) -> list[str]:
        members = self.membership.view(now).members
        return [name for name, member in members.items() if member.state not in DEAD_STATES]
