"""The simulation subject for fleet membership and quota leases."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from fleet_membership import MembershipSettings
from gossip_codec import (
    HEADER_BYTES,
    TAG_BYTES,
    Envelope,
    IndirectProbe,
    MemberState,
    Superseded,
    UpdateBatch,
)
from msgspec import DecodeError, msgpack
from quota_leases import QuotaSettings
from sansio_core import Address, RandomSource

from .cluster import Invariant, address_of
from .membership_invariants import (
    MonotonicViews,
    NoFalseFailures,
    QuotasFitBudget,
    SingleMajority,
    count_failures_and_rejections,
    find_unsettled,
)
from .network import LinkQuality
from .node import Disk
from .run import Subject
from .scenario import Scenario
from .simulated_router import SimulatedRouter

# Maximum number of voters of a fleet whose voters are not given.
MAX_VOTERS = 5

# Time after the last fault within which all routers must agree: several exchanges with unreachable peers fit
# into it.
SETTLE_TIMEOUT_MS = 60_000.0

# The name of the fleet.
FLEET = "fleet"

# The secret of all routers except the foreign ones.
FLEET_SECRET = b"the secret of the fleet"

# The secret of foreign routers, whose datagrams the fleet must reject.
FOREIGN_SECRET = b"another secret of theirs"

# Settings to convert to integers, since the numbers in a scenario's header are parsed as floats.
INTEGER_SETTINGS = ("indirect", "flaps_most")

_envelope_decoder = msgpack.Decoder(Envelope)


def subject(
    names: tuple[str, ...],
    *,
    voters: tuple[str, ...] = (),
    foreign: frozenset[str] = frozenset(),
    base_quality: LinkQuality | None = None,
    checked: bool = True,
    timings: Mapping[str, float] | None = None,
) -> Subject:
    """Return a subject that simulates a fleet of these routers.

    ``foreign`` routers have another secret; ``timings`` are settings of ``MembershipSettings``; if not
    ``checked``, there are no invariants.
    """
    voters = voters or names[:MAX_VOTERS]
    quotas = QuotaSettings(tuple(name for name in names if name not in foreign), voters)
    seeds = tuple(address_of(names.index(name)) for name in voters)

    def build(
        name: str, address: Address, incarnation: int, random: RandomSource, _disk: Disk
    ) -> SimulatedRouter:
        secret = FOREIGN_SECRET if name in foreign else FLEET_SECRET
        settings = MembershipSettings(
            name, address, FLEET, secret, seeds, voters, incarnation, **_typed_settings(timings or {})
        )
        return SimulatedRouter(settings, quotas, random)

    return Subject(
        build,
        invariants=lambda: _invariants(voters) if checked else [],
        find_unsettled=lambda cluster: find_unsettled(cluster, voters, foreign),
        settle_timeout_ms=SETTLE_TIMEOUT_MS,
        base_quality=base_quality or LinkQuality(),
        describe=describe,
        attach_counters=count_failures_and_rejections,
    )


def _invariants(voters: tuple[str, ...]) -> list[Invariant]:
    return [MonotonicViews(), SingleMajority(voters), NoFalseFailures(), QuotasFitBudget()]


def subject_of_scenario(scenario: Scenario) -> Subject:
    """Return the subject of a scenario.

    The header lines ``voters:`` and ``foreign:`` name nodes; ``settings:`` has pairs of a setting and its
    value.
    """
    pairs = scenario.options.get("settings", ())
    timings = {key: float(value) for key, value in zip(pairs[::2], pairs[1::2], strict=True)}
    foreign = frozenset(scenario.options.get("foreign", ()))
    voters = scenario.options.get("voters", ())
    return subject(scenario.names, voters=voters, foreign=foreign, timings=timings)


def describe(data: bytes) -> str:
    """Describe indirect probes, outdated incarnations and batches of claims that members are not alive."""
    try:
        envelope = _envelope_decoder.decode(data[HEADER_BYTES:-TAG_BYTES])
    except (DecodeError, ValueError):
        return ""
    claims = [
        f"{update.name}:{update.state.name.lower()}"
        for update in envelope.updates
        if update.state is not MemberState.ALIVE
    ]
    match envelope.message:
        case IndirectProbe(target=target):
            return " ".join([f"probe {target}", *claims])
        case Superseded():
            return " ".join(["superseded", *claims])
        case UpdateBatch():
            return " ".join(claims)
        case _:
            return ""


def _typed_settings(timings: Mapping[str, float]) -> dict[str, Any]:
    return {key: int(value) if key in INTEGER_SETTINGS else value for key, value in timings.items()}
