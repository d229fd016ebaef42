"""The fleet's members, with their shares, as a subject of the simulation."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from fleet_membership import MembershipSettings
from gossip_codec import Envelope, IndirectProbe, MemberState, Superseded, UpdateBatch
from msgspec import DecodeError, msgpack
from quota_leases import QuotaSettings
from sansio_core import Address, RandomSource

from .cluster import address_of
from .membership_invariants import FalseVerdicts, Ordered, SharesFit, Sides, settled
from .network import Quality
from .node import Disk
from .run import Subject
from .scenario import Scenario
from .simulated_router import Router

VOTERS = 5  # at most, in a drawn fleet
SETTLE_MS = 60_000.0
HEAD, TAG = 9, 16  # bytes around a datagram's body

_decoder = msgpack.Decoder(Envelope)


def subject(
    names: tuple[str, ...],
    *,
    voters: tuple[str, ...] = (),
    foreign: frozenset[str] = frozenset(),
    base: Quality | None = None,
    checked: bool = True,
    timings: Mapping[str, float] | None = None,
) -> Subject:
    """A fleet of these names; `foreign` ones hold another secret, `timings` are of MembershipSettings."""
    voters = voters or names[:VOTERS]
    shares = QuotaSettings(tuple(name for name in names if name not in foreign), voters)
    seeds = tuple(address_of(names.index(name)) for name in voters)

    def build(name: str, address: Address, incarnation: int, draw: RandomSource, disk: Disk) -> Router:
        secret = b"another secret of theirs" if name in foreign else b"the secret of the fleet"
        settings = MembershipSettings(
            name, address, "fleet", secret, seeds, voters, incarnation, **_typed(timings or {})
        )
        return Router(settings, shares, draw)

    return Subject(
        build,
        lambda: [Ordered(), Sides(voters), FalseVerdicts(), SharesFit()] if checked else [],
        lambda world: settled(world, voters, foreign),
        SETTLE_MS,
        base or Quality(),
        describe,
        tally=FalseVerdicts.count,
    )


def from_scenario(scenario: Scenario) -> Subject:
    """Headers `voters:` and `foreign:` name nodes; `settings:` has pairs of a setting and its value."""
    pairs = scenario.options.get("settings", ())
    timings = {key: float(value) for key, value in zip(pairs[::2], pairs[1::2], strict=True)}
    foreign = frozenset(scenario.options.get("foreign", ()))
    voters = scenario.options.get("voters", ())
    return subject(scenario.names, voters=voters, foreign=foreign, timings=timings)


def describe(data: bytes) -> str:
    """Probes through others, claims of harm that go alone, old lives; all else is of no note."""
    try:
        envelope = _decoder.decode(data[HEAD:-TAG])
    except (DecodeError, ValueError):
        return ""
    claims = [
        f"{u.name}:{u.state.name.lower()}" for u in envelope.updates if u.state is not MemberState.ALIVE
    ]
    match envelope.message:
        case IndirectProbe(target=target):
            claims.insert(0, f"probe {target}")
        case Superseded():
            claims.insert(0, "superseded")
        case UpdateBatch():
            pass
        case _:
            return ""
    return " ".join(claims)


def _typed(timings: Mapping[str, float]) -> dict[str, Any]:
    return {key: int(value) if key in ("indirect", "flaps_most") else value for key, value in timings.items()}
