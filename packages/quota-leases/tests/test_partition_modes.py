"""Tests of the partition rules: every operation has one, and each rejection has a retry time."""

from __future__ import annotations

import pytest
from fleet_membership import PartitionMode
from quota_leases import PARTITION_RULES, Decision, Operation

HARMFUL = {Operation.KEYED_REQUEST, Operation.TENANT_MOVE, Operation.NEW_TENANT}


@pytest.mark.parametrize("mode", PartitionMode)
def test_every_mode_has_a_rule_for_every_operation_and_rejections_have_a_retry_time(
    mode: PartitionMode,
) -> None:
    rules = PARTITION_RULES[mode]
    assert set(rules) == set(Operation)
    rejected = {operation for operation, rule in rules.items() if rule.decision is Decision.REJECT}
    assert rejected == (set() if mode is PartitionMode.WITH_MAJORITY else HARMFUL)
    assert rejected == {operation for operation, rule in rules.items() if rule.retry_after_ms is not None}
