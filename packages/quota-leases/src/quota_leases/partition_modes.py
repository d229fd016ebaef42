"""The decision on each kind of operation in each partition mode.

The table follows two rules.  An operation that would do harm if both sides of a partition carried it out is
rejected immediately, with a retry time.  One that only reads, or only evicts from caches, is carried out with
the state that is known to this router.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from fleet_membership import PartitionMode

# Retry time while rejoining, which ends as soon as the voters answer.
REJOINING_RETRY_MS = 2_000.0

# Retry time in a minority: unreachable members are contacted every two probe intervals.
MINORITY_RETRY_MS = 5_000.0

# Retry time while isolated, when an operator may have to intervene.
ISOLATED_RETRY_MS = 10_000.0


class Operation(Enum):
    """Kinds of operations that are affected by a partition."""

    SAFE_READ = "safe read"
    KEYED_REQUEST = "keyed request"
    PURGE = "purge"
    # Any step of moving a tenant between shards.
    TENANT_MOVE = "tenant move"
    RESERVED_CAPACITY = "reserved capacity"
    NEW_TENANT = "new tenant"


class Decision(Enum):
    """What a router does with an operation in a partition mode."""

    ALLOW = "allow"
    # Carry the operation out with the last known placement.
    USE_LAST_KNOWN = "use last known"
    # Carry the operation out on this router, and do not report it as carried out by the fleet.
    LOCAL_ONLY = "local only"
    # Use no more than the floor of the quota.
    FLOOR_ONLY = "floor only"
    REJECT = "reject"


@dataclass(frozen=True, slots=True)
class Rule:
    """A decision; ``retry_after_ms`` is only set with ``Decision.REJECT``."""

    decision: Decision
    retry_after_ms: float | None = None


def _without_majority(retry_after_ms: float) -> dict[Operation, Rule]:
    reject = Rule(Decision.REJECT, retry_after_ms)
    return {
        Operation.SAFE_READ: Rule(Decision.USE_LAST_KNOWN),
        Operation.KEYED_REQUEST: reject,
        Operation.PURGE: Rule(Decision.LOCAL_ONLY),
        Operation.TENANT_MOVE: reject,
        Operation.RESERVED_CAPACITY: Rule(Decision.FLOOR_ONLY),
        Operation.NEW_TENANT: reject,
    }


# The rule for every operation in every mode; docs/design/fleet.md explains it.
PARTITION_RULES: dict[PartitionMode, dict[Operation, Rule]] = {
    PartitionMode.WITH_MAJORITY: {operation: Rule(Decision.ALLOW) for operation in Operation},
    PartitionMode.REJOINING: _without_majority(REJOINING_RETRY_MS),
    PartitionMode.MINORITY: _without_majority(MINORITY_RETRY_MS),
    PartitionMode.ISOLATED: _without_majority(ISOLATED_RETRY_MS),
}
