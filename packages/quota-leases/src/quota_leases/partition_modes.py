"""The mode table: what a router does with each kind of work, by how it stands with the fleet.

Two rules made it.  What two sides could both do with harm is refused at once, with when to come back.  What
only reads, or only forgets, goes on with what is known here."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from fleet_membership import PartitionMode


class Work(Enum):
    SAFE_READ = "safe read"
    KEYED = "keyed request"
    PURGE = "purge"
    MOVE = "move"  # of a tenant between shards: any step of its workflow
    RESERVED = "reserved capacity"
    NEW_TENANT = "new tenant"


class Verdict(Enum):
    ALLOW = "allow"
    LAST_KNOWN = "last known"  # go on, on the placement known last
    HERE = "here"  # do it here, and do not report it as done by the fleet
    FLOOR = "floor"  # no more than what was agreed beforehand for a router that can't ask
    REFUSE = "refuse"


@dataclass(frozen=True)
class Rule:
    """``retry_ms`` is when to come back, with ``REFUSE`` alone."""

    verdict: Verdict
    retry_ms: float | None = None


def _without_majority(retry_ms: float) -> dict[Work, Rule]:
    refuse = Rule(Verdict.REFUSE, retry_ms)
    return {
        Work.SAFE_READ: Rule(Verdict.LAST_KNOWN),
        Work.KEYED: refuse,
        Work.PURGE: Rule(Verdict.HERE),
        Work.MOVE: refuse,
        Work.RESERVED: Rule(Verdict.FLOOR),
        Work.NEW_TENANT: refuse,
    }


MODE_TABLE: dict[PartitionMode, dict[Work, Rule]] = {
    PartitionMode.WITH_MAJORITY: {work: Rule(Verdict.ALLOW) for work in Work},
    PartitionMode.REJOINING: _without_majority(2_000.0),  # the voters answer soon, or it is another mode
    PartitionMode.MINORITY: _without_majority(5_000.0),  # others are looked for every two periods
    PartitionMode.ISOLATED: _without_majority(10_000.0),
}
