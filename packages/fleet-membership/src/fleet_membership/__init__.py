"""Fleet membership and failure detection: SWIM with Lifeguard's extensions."""

from __future__ import annotations

from gossip_codec import MemberState

from fleet_membership.membership import Membership
from fleet_membership.message_handling import UserMessageHandler
from fleet_membership.settings import InvalidSettingError, MembershipSettings
from fleet_membership.view import LinkState, MembershipView, MemberView, PartitionMode

__all__ = [
    "InvalidSettingError",
    "LinkState",
    "MemberState",
    "MemberView",
    "Membership",
    "MembershipSettings",
    "MembershipView",
    "PartitionMode",
    "UserMessageHandler",
]
