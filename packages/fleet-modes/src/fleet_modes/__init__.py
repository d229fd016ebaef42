"""What a router may do in each mode, and its share of the fleet's budgets."""

from __future__ import annotations

from fleet_modes.keeper import CHANNEL, ShareKeeper
from fleet_modes.settings import WHOLE, ShareSettings
from fleet_modes.shares import Granter, Holder
from fleet_modes.table import MODE_TABLE, Rule, Verdict, Work

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
