"""What a router may do in each mode, and its share of the fleet's budgets."""

from __future__ import annotations

from quota_leases.keeper import CHANNEL, ShareKeeper
from quota_leases.settings import WHOLE, ShareSettings
from quota_leases.shares import Granter, Holder
from quota_leases.table import MODE_TABLE, Rule, Verdict, Work

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
