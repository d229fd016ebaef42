"""Rules for operations in each partition mode, and leases on quotas of the fleet's budgets."""

from __future__ import annotations

from quota_leases.lease_exchange import LEASE_CHANNEL, LeaseExchange, OutgoingRequest
from quota_leases.leases import LeaseHolder, LeaseIssuer
from quota_leases.partition_modes import PARTITION_RULES, Decision, Operation, Rule
from quota_leases.settings import BUDGET_UNITS, QuotaSettings

__all__ = [
    "BUDGET_UNITS",
    "LEASE_CHANNEL",
    "PARTITION_RULES",
    "Decision",
    "LeaseExchange",
    "LeaseHolder",
    "LeaseIssuer",
    "Operation",
    "OutgoingRequest",
    "QuotaSettings",
    "Rule",
]
