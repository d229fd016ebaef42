"""What a router may do in each mode, and its share of the fleet's budgets."""

from __future__ import annotations

from quota_leases.lease_exchange import CHANNEL, ShareKeeper
from quota_leases.leases import Granter, Holder
from quota_leases.partition_modes import MODE_TABLE, Rule, Verdict, Work
from quota_leases.settings import WHOLE, ShareSettings

__all__ = [
    "CHANNEL",
    "MODE_TABLE",
    "WHOLE",
    "Granter",
    "Holder",
    "Rule",
    "ShareKeeper",
    "ShareSettings",
    "Verdict",
    "Work",
]
