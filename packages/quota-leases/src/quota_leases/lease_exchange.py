"""A router's shares on the fleet's datagrams: asks and answers as bodies on one channel."""

from __future__ import annotations

from collections.abc import Collection
from typing import Annotated

from msgspec import DecodeError, Meta, Struct, msgpack

from quota_leases.leases import Granter, Holder
from quota_leases.settings import WHOLE, ShareSettings

CHANNEL = 1  # of ``gossip_codec.UserMessage``
RENEWALS = 4  # within a lease
Count = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]


class Ask(Struct, frozen=True, array_like=True, tag=1):
    life: Count
    number: Count


class Grant(Struct, frozen=True, array_like=True, tag=2):
    life: Count
    number: Count
    units: Annotated[int, Meta(ge=0, le=WHOLE)]


class ShareKeeper:
    """Holder at every router, and granter where the router is a voter.  Call ``asks`` each ``every_ms``."""

    def __init__(self, settings: ShareSettings, name: str, life: int, started: float) -> None:
        self._settings, self._name = settings, name
        self._holder = Holder(settings, name, life)
        self._granter = Granter(settings, started) if name in settings.voters else None
        self._decoder = msgpack.Decoder(Ask | Grant)
        self.every_ms = settings.lease_ms / RENEWALS

    def asks(self, now: float, live: Collection[str]) -> list[tuple[str, bytes]]:
        """Voters to ask, and the bodies to carry to them; this router's own slice is asked at once."""
        out = []
        for voter in self._settings.voters:
            ask = Ask(self._holder.life, self._holder.ask(now, voter))
            if voter == self._name:
                self._take(voter, self._grant(now, self._name, ask, live))
            else:
                out.append((voter, msgpack.encode(ask)))
        return out

    def heard(self, now: float, sender: str, body: bytes, live: Collection[str]) -> bytes | None:
        """Take a body of an authenticated sender; gives the answer to carry back, if there is one."""
        try:
            message = self._decoder.decode(body)
        except (DecodeError, ValueError):
            return None
        if isinstance(message, Ask):
            return msgpack.encode(self._grant(now, sender, message, live)) if self._granter else None
        self._take(sender, message)
        return None

    def share(self, now: float) -> float:
        """The part of each budget that this router may spend now, in [0, 1]."""
        return self._holder.share(now) / WHOLE

    def _grant(self, now: float, router: str, ask: Ask, live: Collection[str]) -> Grant:
        units = self._granter.asked(now, router, live) if self._granter else 0
        return Grant(ask.life, ask.number, units)

    def _take(self, voter: str, grant: Grant) -> None:
        self._holder.granted(voter, grant.life, grant.number, grant.units)
