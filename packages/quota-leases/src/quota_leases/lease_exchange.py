"""Lease requests and grants on the fleet's datagrams, as user messages on one channel."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from typing import Annotated

from msgspec import DecodeError, Meta, Struct, msgpack

from quota_leases.leases import LeaseHolder, LeaseIssuer
from quota_leases.settings import BUDGET_UNITS, QuotaSettings

# The channel of ``gossip_codec.UserMessage`` that carries leases.
LEASE_CHANNEL = 1

# Requests within the duration of one lease; three in a row may be lost before it expires.
RENEWALS_PER_LEASE = 4

# A non-negative integer that fits into signed 64 bits.
Natural = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]


class LeaseRequest(Struct, frozen=True, array_like=True, tag=1):
    """Asks a voter for a lease."""

    incarnation: Natural
    request_id: Natural


class LeaseGrant(Struct, frozen=True, array_like=True, tag=2):
    """Answers the request with the same incarnation and id by a lease of ``units``, which may be 0."""

    incarnation: Natural
    request_id: Natural
    units: Annotated[int, Meta(ge=0, le=BUDGET_UNITS)]


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """An encoded request to send to a voter."""

    voter: str
    body: bytes


class LeaseExchange:
    """The lease holder of a router, and its lease issuer if the router is a voter.

    The caller must call ``renew`` every ``renewal_interval_ms``.
    """

    def __init__(self, settings: QuotaSettings, name: str, incarnation: int, started_ms: float) -> None:
        self.renewal_interval_ms = settings.lease_ms / RENEWALS_PER_LEASE
        self._settings = settings
        self._name = name
        self._holder = LeaseHolder(settings, name, incarnation)
        self._issuer = LeaseIssuer(settings, started_ms) if name in settings.voters else None
        self._decoder = msgpack.Decoder(LeaseRequest | LeaseGrant)

    def renew(self, now: float, live_routers: Collection[str]) -> list[OutgoingRequest]:
        """Request a lease from each voter; return the requests to send to voters other than this router."""
        outgoing = []
        for voter in self._settings.voters:
            request = LeaseRequest(self._holder.incarnation, self._holder.request(now, voter))
            if voter == self._name and self._issuer is not None:
                self._accept(voter, _grant(self._issuer, now, self._name, request, live_routers))
            else:
                outgoing.append(OutgoingRequest(voter, msgpack.encode(request)))
        return outgoing

    def handle_message(
        self, now: float, sender: str, body: bytes, live_routers: Collection[str]
    ) -> bytes | None:
        """Handle a message of an authenticated sender; return the reply, or None for no reply.

        Malformed messages are ignored.
        """
        try:
            message = self._decoder.decode(body)
        except (DecodeError, ValueError):
            return None
        match message:
            case LeaseGrant():
                self._accept(sender, message)
                return None
            case LeaseRequest():
                if self._issuer is None:
                    return None
                return msgpack.encode(_grant(self._issuer, now, sender, message, live_routers))

    def quota(self, now: float) -> float:
        """Return the share of each budget that this router may use now, in [0, 1]."""
        return self._holder.quota_units(now) / BUDGET_UNITS

    def _accept(self, voter: str, grant: LeaseGrant) -> None:
        self._holder.accept(voter, grant.incarnation, grant.request_id, grant.units)


def _grant(
    issuer: LeaseIssuer, now: float, router: str, request: LeaseRequest, live_routers: Collection[str]
) -> LeaseGrant:
    units = issuer.issue(now, router, live_routers)
    return LeaseGrant(request.incarnation, request.request_id, units)
