"""The fleet's members, with their shares, as a subject of the simulation."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from fleet_membership import Membership, MembershipSettings
from fleet_modes import CHANNEL, ShareKeeper, ShareSettings
from fleet_seam import Action, Address, Draw, Event, Leaving, SetTimer, Started, TimerFired
from fleet_wire import Envelope, MemberState, Nack, ProbeFor, Superseded
from msgspec import DecodeError, msgpack

from .membership_checks import GONE, FalseVerdicts, Ordered, SharesFit, Sides, settled
from .network import Quality
from .node import Disk
from .run import Subject
from .scenario import Scenario

VOTERS = 5  # at most, in a drawn fleet
SETTLE_MS = 60_000.0
SHARES_TOKEN = -1  # the members' own tokens are not negative
HEAD, TAG = 9, 16  # bytes around a datagram's body

_decoder = msgpack.Decoder(Envelope)


class Router:
    """What a router runs of the fleet: a member, and its shares of the budgets on the same datagrams."""

    def __init__(self, settings: MembershipSettings, shares: ShareSettings, draw: Draw) -> None:
        self.name = settings.name
        self.member = Membership(settings, draw, self._heard)
        self.keeper: ShareKeeper | None = None
        self._shares = shares
        self._life = settings.incarnation

    def handle(self, now: float, event: Event) -> list[Action]:
        if event == TimerFired(SHARES_TOKEN):
            return self._ask(now)
        if isinstance(event, Started):
            self.keeper = ShareKeeper(self._shares, self.name, self._life, now)
            return [*self.member.handle(now, event), SetTimer(self.keeper.every_ms, SHARES_TOKEN)]
        if isinstance(event, Leaving):
            self.keeper = None
        return self.member.handle(now, event)

    def share(self, now: float) -> float:
        return self.keeper.share(now) if self.keeper else 0.0

    def _ask(self, now: float) -> list[Action]:
        if self.keeper is None:
            return []
        actions: list[Action] = []
        for voter, body in self.keeper.asks(now, self._live(now)):
            actions += self.member.carry(voter, CHANNEL, body)
        return [*actions, SetTimer(self.keeper.every_ms, SHARES_TOKEN)]

    def _heard(self, now: float, sender: str, channel: int, body: bytes) -> bytes | None:
        if self.keeper is None or channel != CHANNEL:
            return None
        return self.keeper.heard(now, sender, body, self._live(now))

    def _live(self, now: float) -> list[str]:
        return [name for name, m in self.member.view(now).members.items() if m.state not in GONE]


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
    shares = ShareSettings(tuple(name for name in names if name not in foreign), voters)
    seeds: list[Address] = []

    def build(name: str, address: Address, incarnation: int, draw: Draw, disk: Disk) -> Router:
        if not any(address == seed for seed in seeds) and len(seeds) < len(voters):
            seeds.append(address)
        secret = b"another secret of theirs" if name in foreign else b"the secret of the fleet"
        settings = MembershipSettings(
            name, address, "fleet", secret, tuple(seeds), voters, incarnation, **_typed(timings or {})
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
    """Claims of harm, and probes through others; all else is of no note."""
    try:
        envelope = _decoder.decode(data[HEAD:-TAG])
    except (DecodeError, ValueError):
        return ""
    claims = [
        f"{u.name}:{u.state.name.lower()}" for u in envelope.updates if u.state is not MemberState.ALIVE
    ]
    match envelope.message:
        case ProbeFor(target=target):
            claims.insert(0, f"probe {target}")
        case Nack():
            claims.insert(0, "nack")
        case Superseded():
            claims.insert(0, "superseded")
    return " ".join(claims)


def _typed(timings: Mapping[str, float]) -> dict[str, Any]:
    return {key: int(value) if key in ("indirect", "flaps_most") else value for key, value in timings.items()}
